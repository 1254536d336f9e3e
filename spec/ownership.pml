/*
 * Models the ownership of an engine: at most one host may send it orders.
 *
 * Two hosts claim the ownership of one engine on the log; the record's offset
 * is the fencing token. The engine has memory for one model; two loads that
 * both take effect overcommit it. Hosts may be paused between decision and
 * sending, and resume with their old state. Append answers are lost; orders
 * are delayed and duplicated.
 *
 * FENCED=1: the engine checks tokens. FENCED=0: it executes all orders, and a
 * new owner waits for the former owner's release.
 *
 * -DNO_<GUARD> removes a guard; the model must then fail.
 *   FENCE_CHECK    the engine refuses tokens below the highest seen
 *   RAISE_FIRST    a new owner raises the fence before it reads the inventory
 *   RESERVE_FIRST  memory is reserved before the order is sent
 *   KEEP_UNKNOWN   an order whose answer is lost counts as loaded
 *   AWAIT_RELEASE  on an unfenced engine, wait for the former owner's release
 *   RELEASE_QUIET  release only when no order is in flight
 */
#ifndef FENCED
#define FENCED 1
#endif

#define HOSTS 2
#define MODELS 2
#define NOBODY 255
#define MAXLOG 4

/* ---- the log: offsets 1..MAXLOG, and its folded state ---- */
byte log_len = 0;
byte owner = NOBODY;         /* by the fold */
byte token = 0;
bool released = true;        /* by the former owner, if there is one */
byte former = NOBODY;

/* ---- the engine ---- */
byte highest = 0;
bool resident[MODELS];
byte resident_count = 0;
bool seen_order[6];          /* executed order ids: host * 3 + n */

/* ---- orders in flight: order, token, model ---- */
chan wire = [3] of { byte, byte, byte };

/* ---- invariants ---- */
#define overcommitted (resident_count > 1)

inline append_claim(who, previous, won)
{
    /* One atomic step: the log orders appends, the fold evaluates them. */
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
        :: seen_order[o] -> skip         /* duplicate: no effect */
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

/* Delivers orders late, in any order, and sometimes twice. */
proctype Wire()
{
    byte o, t, m;
end:
    do
    :: atomic { wire ?? o, t, m -> deliver(o, t, m) }
    :: atomic { wire ?? <o, t, m> -> deliver(o, t, m) }     /* duplicate */
    od
}

proctype Host(byte me)
{
    byte mine = 0;       /* the token this host assumes to own */
    byte known;          /* the token read last */
    bool reserved;       /* by this host's ledger, the memory is in use */
    byte under_way = 0;
    byte orders = 0;
    byte model;
    byte sent = 0;
    byte inventory;

    do
    :: mine == 0 && log_len < MAXLOG ->
        /* The lease expired or there is no owner: read, then claim. Another
         * claim may precede this one if the host pauses in between. */
        known = token;
        append_claim(me, known, mine);
        /* If the append's answer is lost, reading back gives the same. */
        if
        :: mine != 0 ->
            reserved = false;
#if FENCED
#ifndef NO_RAISE_FIRST
            /* Inspect with the new token: the engine refuses older orders from
             * now on. */
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
            /* The engine executes all orders: wait for the former owner. */
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
        /* Decide on a load. The interleaving covers a pause before the order
         * is sent. */
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
        /* The answer arrives or is lost. */
        if
        :: skip                          /* lost: the reservation stays */
#ifdef NO_KEEP_UNKNOWN
           ; reserved = false            /* wrong: lost counts as failed */
#endif
        :: skip
        fi

    :: mine != 0 && token != mine ->
        /* The log shows another owner: stop sending orders. */
#if !FENCED
#ifndef NO_RELEASE_QUIET
        /* Release only when no own order can arrive any more. */
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

    :: mine != 0 && token == mine && me == 0 -> break   /* the owner crashes */
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
