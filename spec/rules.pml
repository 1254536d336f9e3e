/*
 * Which rule set is in force.
 *
 * Operators publish on the log, each on the version it read; a paused one
 * publishes on an old version, and one whose answer was lost publishes twice.
 * A carrier writes the state again before it expires; it may pause between
 * reading and writing. A host reads from wherever the log still begins, and is
 * told snapshots by peers that may lag.
 *
 * The truth is the fold of the whole log. The host must agree with it at every
 * position at which it claims to know, and never go back.
 *
 * A guard is removed with -DNO_<GUARD>; the model must then fail.
 *   CAS         a set whose base is not the current version is void
 *   KEEP_ASIDE  without a base, records are kept aside and not judged
 *   AS_OF       a snapshot counts only if it covers all that was missed
 *   NEVER_BACK  a snapshot older than what is in force is ignored
 */
#define MAXLOG 6
#define PUB 1
#define SNAP 2

#ifndef NO_AS_OF
#define COVERS(upto) (upto >= start)
#else
#define COVERS(upto) true
#endif
#ifndef NO_NEVER_BACK
#define PEER_HELPS (peer_upto > pos || (!based && peer_upto >= start))
#else
#define PEER_HELPS true
#endif
#ifndef NO_KEEP_ASIDE
#define JUDGES_WITHOUT_BASE false
#else
#define JUDGES_WITHOUT_BASE true
#endif

byte kind[MAXLOG];
byte base[MAXLOG];       /* PUB: its base. SNAP: the version carried. */
byte as_of[MAXLOG];      /* SNAP: how far its writer had read. */
byte log_len = 0;
byte first = 0;
byte truth = 0;          /* version in force; versions are position + 1 */
byte truth_at[7];        /* version in force after the first n records */

inline append(k, b, a)
{
    atomic {
        if
        :: log_len < MAXLOG ->
            kind[log_len] = k;
            base[log_len] = b;
            as_of[log_len] = a;
            if
#ifndef NO_CAS
            :: k == PUB && b == truth ->
#else
            :: k == PUB ->
                /* Nobody's change may be undone unseen. */
                assert(b == truth);
#endif
                truth = log_len + 1
            :: else -> skip
            fi;
            log_len++;
            truth_at[log_len] = truth
        :: else -> skip
        fi
    }
}

proctype Operator()
{
    byte seen;
    seen = truth;
    append(PUB, seen, 0);
    if
    :: true -> append(PUB, seen, 0)      /* the answer was lost */
    :: true -> skip
    fi
}

proctype Carrier()
{
    byte version, upto;
    atomic { version = truth; upto = log_len };
    append(SNAP, version, upto)
}

proctype Retention()
{
    if
    :: atomic { log_len > 0 -> first = 1 }
    :: atomic { log_len > 1 -> first = 2 }
    :: true -> skip
    fi
}

proctype Host()
{
    byte pos;
    byte version = 0;
    byte start;
    byte i;
    byte peer_version, peer_upto;
    bool based;
    byte before;

    /* A peer's state, taken at some moment and told at a later one. */
    atomic { peer_version = truth; peer_upto = log_len };

    atomic {
        pos = first;
        start = first;
        based = (first == 0 || JUDGES_WITHOUT_BASE)
    };
    do
    :: atomic {
        pos < log_len && pos < first ->      /* outrun by the retention */
            pos = first;
            start = first;
#ifndef NO_KEEP_ASIDE
            based = false
#endif
       }
    :: atomic {
        pos < log_len && pos >= first ->
            before = version;
            if
            :: based && kind[pos] == PUB && base[pos] == version ->
                version = pos + 1
#ifdef NO_CAS
            :: based && kind[pos] == PUB && base[pos] != version ->
                version = pos + 1
#endif
            :: !based && kind[pos] == SNAP && COVERS(as_of[pos]) ->
                version = base[pos];
                based = true;
                /* Judge what was kept aside. */
                i = as_of[pos];
                do
                :: i < pos ->
                    if
                    :: i >= start && kind[i] == PUB && base[i] == version ->
                        version = i + 1
                    :: else -> skip
                    fi;
                    i++
                :: else -> break
                od;
                i = 0
            :: else -> skip
            fi;
            pos++;
            assert(!based || version == truth_at[pos])
       }
    :: atomic {
        /* A peer tells its state; it is ahead, or covers what is missing. */
        peer_version > 0 && PEER_HELPS ->
            before = version;
            version = peer_version;
            if
            :: peer_upto > pos -> pos = peer_upto
            :: else ->
                /* What was kept aside since; nothing, with a base. */
                i = (based -> pos : peer_upto);
                do
                :: i < pos ->
                    if
                    :: i >= start && kind[i] == PUB && base[i] == version ->
                        version = i + 1
                    :: else -> skip
                    fi;
                    i++
                :: else -> break
                od;
                i = 0
            fi;
            based = true;
            assert(version >= before);
            assert(version == truth_at[pos]);
            peer_version = 0
       }
    :: pos >= log_len -> break
    od
}

init
{
    atomic {
        run Operator();
        run Operator();
        run Carrier();
        run Retention();
        run Host()
    }
}
