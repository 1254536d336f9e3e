/*
 * Who may order an engine.
 *
 * Two hosts claim the ownership of one engine on the log; the record's offset
 * is the fencing token. The engine has room for one model; two loads that
 * both take effect overcommit it. Hosts may be paused between deciding and
 * sending, and wake believing what they believed. Append answers are lost;
 * orders are late and doubled.
 *
 * FENCED=1: the engine checks tokens. FENCED=0: it obeys everybody, and a new
 * owner waits for the former one's release.
 *
 * A guard is removed with -DNO_<GUARD>; the model must then fail.
 *   FENCE_CHECK    engine refuses tokens below the highest seen
 *   RAISE_FIRST    new owner raises the fence before it takes the inventory
 *   RESERVE_FIRST  memory is reserved before the order is sent
 *   KEEP_UNKNOWN   an order whose answer is lost counts as loaded
 *   AWAIT_RELEASE  on an unfenced engine, wait for the former owner's release
 *   RELEASE_QUIET  release only when no order is under way
 */
#ifndef FENCED
#define FENCED 1
#endif

#define HOSTS 2
#define MODELS 2
#define NOBODY 255
#define MAXLOG 4

/* ---- the log: offsets 1..MAXLOG, fold kept alongside ---- */
byte log_len = 0;
byte owner = NOBODY;         /* of the fold */
byte token = 0;
bool released = true;        /* former owner has released (or there is none) */
byte former = NOBODY;

/* ---- the engine ---- */
byte highest = 0;
bool resident[MODELS];
byte resident_count = 0;
bool seen_order[6];          /* order ids taken: host * 3 + n */

/* ---- orders on the wire: order, token, model; doubled by not consuming ---- */
chan wire = [3] of { byte, byte, byte };

/* ---- promises ---- */
#define overcommitted (resident_count > 1)

inline append_claim(who, previous, won)
{
    /* One atomic step: the log orders appends, the fold judges them. */
    atomic {
        won = 0;
        if
        :: log_len < MAXLOG ->
            log_len++;
            if
            :: previous == token ->
                former = owner;
                released = (owner == NOBODY || owner == who);
                owner = who;
                token = log_len;
                won = log_len
            :: else -> skip
            fi
        :: else -> skip
        fi
    }
}

inline deliver(o, t, m)
{
    atomic {
        if
#if FENCED
#ifndef NO_FENCE_CHECK
        :: t < highest -> skip           /* stale: refused */
#endif
#endif
        :: seen_order[o] -> skip         /* doubled: changes nothing */
        :: else ->
            seen_order[o] = true;
            if
            :: t > highest -> highest = t
            :: else -> skip
            fi;
            if
            :: resident[m] -> skip
            :: else -> resident[m] = true; resident_count++
            fi;
            assert(!overcommitted)
        fi
    }
}

/* The wire delivers late, in any order, and sometimes twice. */
proctype Wire()
{
    byte o, t, m;
end:
    do
    :: atomic { wire ?? o, t, m -> deliver(o, t, m) }
    :: atomic { wire ?? <o, t, m> -> deliver(o, t, m) }     /* and once more */
    od
}

proctype Host(byte me)
{
    byte mine = 0;       /* the token I believe in */
    byte known;          /* the token I last read */
    bool reserved;       /* my ledger: memory is spoken for */
    byte under_way = 0;
    byte orders = 0;
    byte model;
    byte sent = 0;
    byte inventory;

    do
    :: mine == 0 && log_len < MAXLOG ->
        /* Lease lapsed, or nobody owns it: read, then claim. The pause may
         * fall between the two, so another claim may come first. */
        known = token;
        append_claim(me, known, mine);
        /* The append's answer may be lost; reading back finds the same. */
        if
        :: mine != 0 ->
            reserved = false;
#if FENCED
#ifndef NO_RAISE_FIRST
            /* Inspect under the new token: older orders are void from now. */
            atomic {
                if
                :: mine > highest -> highest = mine
                :: else -> skip
                fi;
                inventory = resident_count
            };
#else
            inventory = resident_count;
#endif
#else
            /* The engine obeys everybody: wait for the former owner. */
#ifndef NO_AWAIT_RELEASE
            do
            :: released || token != mine -> break
            od;
#endif
            inventory = resident_count;
#endif
            if
            :: inventory > 0 -> reserved = true
            :: else -> skip
            fi
        :: else -> skip
        fi

    :: mine != 0 && !reserved && orders < 2 ->
        /* Decide a load. A pause between here and the sending is covered by
         * the interleaving: anything may happen before the next step. */
        if
        :: model = 0
        :: model = 1
        fi;
#ifndef NO_RESERVE_FIRST
        reserved = true;
#endif
        atomic {
            wire ! (me * 3 + orders), mine, model;
            orders++;
            sent++
        }
        /* The answer comes, or is lost, or never comes. */
        if
        :: skip                          /* lost: the reservation stays */
#ifdef NO_KEEP_UNKNOWN
           ; reserved = false            /* wrong: takes silence for failure */
#endif
        :: skip
        fi

    :: mine != 0 && token != mine ->
        /* Read the log: another host owns it now. Stop. */
#if !FENCED
#ifndef NO_RELEASE_QUIET
        /* Release only when my orders can no longer arrive. */
        do
        :: atomic { len(wire) == 0 -> break }
        od;
#endif
        atomic {
            if
            :: former == me -> released = true
            :: else -> skip
            fi
        };
#endif
        mine = 0;
        break

    :: mine != 0 && token == mine && me == 0 -> break   /* dies holding it */
    :: mine == 0 && log_len >= MAXLOG -> break
    od
}

init
{
    atomic {
        run Wire();
        run Host(0);
        run Host(1)
    }
}
