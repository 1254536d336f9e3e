/*
 * Models a non-idempotent request that reaches several hosts with one key.
 *
 * Each host appends a claim; the first claim on the log wins. A host executes
 * the request only after it has read its own claim back as the winner. Append
 * answers are lost, appends are duplicated, and a host may refuse the request
 * ("not run") at any moment before it executes it. Hosts start late or pause
 * while records expire.
 *
 * -DNO_<GUARD> removes a guard; the model must then fail.
 *   READ_BACK     execute only after the own claim was read back as the winner
 *   FIRST_WINS    the fold assigns the key to the first claim
 *   UNIQUE_ID     claim ids of two hosts differ
 *   TOO_OLD       a key older than the log's retention is refused
 *   GIVE_BACK_NR  a claim is released as not run only if nothing was sent
 *   GAP           a host that missed expired records decides no earlier key
 *   ENDED_VOID    a duplicate of a released claim is ignored
 */
#define NONE 255
#define HOSTS 3
#define MAXLOG 6

#define CLAIM 1
#define END 2

byte kind[MAXLOG];
byte id[MAXLOG];
byte log_len = 0;
byte first = 0;               /* oldest retained record */
bool key_is_old = false;      /* the key is older than the retention */

byte runs = 0;
byte told_not_run[HOSTS];
byte ran_by[HOSTS];

/* Claim id of host h. */
#ifndef NO_UNIQUE_ID
#define CLAIM_ID(h) (h)
#else
#define CLAIM_ID(h) 0
#endif

inline append(k, i)
{
    atomic {
        if
        :: log_len < MAXLOG -> kind[log_len] = k; id[log_len] = i; log_len++
        :: else -> skip
        fi
    }
}

/* Folds the new records; holder is the winning claim of the key. */
inline fold()
{
    atomic {
        if
        :: n < first ->
#ifndef NO_GAP
            gap = true;
#endif
            n = first
        :: else -> skip
        fi;
        do
        :: n < log_len ->
            if
            :: kind[n] == CLAIM ->
                if
#ifndef NO_ENDED_VOID
                :: (ended & (1 << id[n])) != 0 -> skip
                :: (ended & (1 << id[n])) == 0 ->
#else
                :: true ->
#endif
                    if
#ifndef NO_FIRST_WINS
                    :: holder == NONE -> holder = id[n]
                    :: holder != NONE -> skip
#else
                    :: true -> holder = id[n]
#endif
                    fi
                fi
            :: kind[n] == END ->
                ended = ended | (1 << id[n]);
                if
                :: holder == id[n] -> holder = NONE
                :: else -> skip
                fi
            fi;
            n++
        :: else -> break
        od;
        /* A released claim never holds the key, so callers may retry it. */
        assert(holder == NONE || !(ended & (1 << holder)))
    }
}

proctype Host(byte me)
{
    byte holder = NONE;
    byte ended = 0;
    byte n = 0;
    bool gap = false;
    bool gave_up = false;

    /* A host that starts late reads only the retained records. */
    atomic {
        n = first;
        if
#ifndef NO_TOO_OLD
        :: key_is_old -> told_not_run[me] = 1; goto done
        :: !key_is_old -> skip
#else
        :: true -> skip
#endif
        fi
    };
    fold();
    if
    :: holder != NONE || gap -> goto done       /* 409: may have run */
    :: else -> skip
    fi;

    append(CLAIM, CLAIM_ID(me));
#ifndef NO_READ_BACK
    if
    /* The append's answer was lost, so it is repeated. It suffices that one
     * host does so. */
    :: me == 0 -> append(CLAIM, CLAIM_ID(me))
    :: true -> skip
    fi;
    if
    :: true -> gave_up = true                /* deadline exceeded */
    :: true -> skip
    fi;
    if
    :: gave_up ->
        append(END, CLAIM_ID(me));
        told_not_run[me] = 1;
        if
        :: me == 0 -> append(CLAIM, CLAIM_ID(me))   /* a delayed duplicate */
        :: true -> skip
        fi;
        goto done
    :: else -> skip
    fi;
    fold();
    if
    :: holder != CLAIM_ID(me) || gap -> goto done
    :: else -> skip
    fi;
#endif
    /* Sends the request. */
    atomic { runs++; ran_by[me] = 1 };
    assert(runs <= 1);
    /* If the service's answer is lost, the outcome is unknown. */
#ifdef NO_GIVE_BACK_NR
    if
    :: true -> append(END, CLAIM_ID(me)); told_not_run[me] = 1
    :: true -> skip
    fi;
#endif
done:
    assert(!(told_not_run[me] && ran_by[me]))
}

/* Expires the oldest records; the key is then older than the retention, too. */
proctype Retention()
{
    if
    :: atomic { log_len > 0 -> key_is_old = true; first = log_len }
    :: skip
    fi
}

init
{
    atomic {
        run Host(0);
        run Host(1);
        run Host(2);
        run Retention()
    }
}
