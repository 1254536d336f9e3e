/*
 * A request that may not be repeated, sent to two hosts with one key.
 *
 * Each host appends a claim; the first on the log wins; a host runs the
 * request only after it read its own claim back as the winner. Append answers
 * are lost, appends are doubled, a host gives up ("not run") at any moment
 * before it runs. Hosts start late or pause while the log forgets records.
 *
 * A guard is removed with -DNO_<GUARD>; the model must then fail.
 *   READ_BACK     run only after the own claim was read back as the winner
 *   FIRST_WINS    the fold gives the key to the first claim
 *   UNIQUE_ID     claim ids of two hosts differ
 *   TOO_OLD       a key older than what the log keeps is refused
 *   GIVE_BACK_NR  a claim is given back as not run only if nothing was sent
 *   GAP           a host that the log outran judges no key from before
 *   ENDED_VOID    a claim that was given back is void when it comes again
 */
#define NONE 255
#define HOSTS 3
#define MAXLOG 6

#define CLAIM 1
#define END 2

byte kind[MAXLOG];
byte id[MAXLOG];
byte log_len = 0;
byte first = 0;               /* oldest record kept */
bool key_is_old = false;      /* age of the key past the retention */

byte runs = 0;
byte told_not_run[HOSTS];
byte ran_by[HOSTS];

/* Id of host h's claim. */
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

/* Folds what came since the last time; holder is who has the key. */
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
        /* A key given back as not run may be tried again. */
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

    /* A host that starts late sees only what the log keeps. */
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
    /* The answer was lost: written again. One host that does so shows all. */
    :: me == 0 -> append(CLAIM, CLAIM_ID(me))
    :: true -> skip
    fi;
    if
    :: true -> gave_up = true                /* the deadline passed */
    :: true -> skip
    fi;
    if
    :: gave_up ->
        append(END, CLAIM_ID(me));
        told_not_run[me] = 1;
        if
        :: me == 0 -> append(CLAIM, CLAIM_ID(me))   /* a late copy */
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
    /* Send it. */
    atomic { runs++; ran_by[me] = 1 };
    assert(runs <= 1);
    /* The service's answer comes, or is lost: nobody knows then. */
#ifdef NO_GIVE_BACK_NR
    if
    :: true -> append(END, CLAIM_ID(me)); told_not_run[me] = 1
    :: true -> skip
    fi;
#endif
done:
    assert(!(told_not_run[me] && ran_by[me]))
}

/* Time passes: the log forgets its oldest records, and with them the key is
 * older than what is kept. */
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
