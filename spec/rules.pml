/*
 * Models how hosts determine the rule set in force.
 *
 * Operators publish rule sets on the log, each based on the version it read; a
 * paused operator publishes on an old version, and one whose answer was lost
 * publishes twice. A carrier appends a snapshot before the records expire; it
 * may pause between reading and writing. A host reads from the oldest retained
 * record, and receives snapshots from peers that may lag.
 *
 * The reference is the fold of the complete log. A host with a base must agree
 * with it at each position, and its version never decreases.
 *
 * -DNO_<GUARD> removes a guard; the model must then fail.
 *   CAS         a set whose base is not the current version is ignored
 *   KEEP_ASIDE  without a base, records are buffered and not evaluated
 *   AS_OF       a snapshot is used only if it covers all missed records
 *   NEVER_BACK  a snapshot older than the state in force is ignored
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
byte base[MAXLOG];       /* PUB: its base. SNAP: its version. */
byte as_of[MAXLOG];      /* SNAP: number of records that it covers. */
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
                /* No update may be lost to a concurrent one. */
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
    :: true -> append(PUB, seen, 0)      /* the answer was lost: retried */
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

    /* A peer's state, read now and received later. */
    atomic { peer_version = truth; peer_upto = log_len };

    atomic {
        pos = first;
        start = first;
        based = (first == 0 || JUDGES_WITHOUT_BASE)
    };
    do
    :: atomic {
        pos < log_len && pos < first ->      /* unread records expired */
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
                /* Evaluate the buffered records. */
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
        /* Apply a peer's state that is ahead or covers the missed records. */
        peer_version > 0 && PEER_HELPS ->
            before = version;
            version = peer_version;
            if
            :: peer_upto > pos -> pos = peer_upto
            :: else ->
                /* Evaluate records buffered since; none if there is a base. */
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
