/*
 * Models the placement lease where engines check no fencing tokens: holders may
 * follow each other before an earlier one has ended its orders.
 *
 * Time passes in ticks. A holder trusts its lease for TRUST ticks after the
 * read that confirmed it; a new one waits WAIT ticks from its first read of the
 * record. A holder of the first record is cut off at any time; the other hosts
 * are cut off (they take no step that needs the store), killed and started anew,
 * release, resign and supersede each other. Only what the store keeps outlives a
 * process.
 *
 * Checked: no order under a token below that of an earlier order.
 *
 * -DNO_<GUARD> removes a guard; the model must then fail.
 *   CHAIN     holders before the last one are waited for as well
 *   UNMARKED  a record that does not say that its predecessors have ended is
 *             taken for one that has some
 *   HONEST    a record says so only if it is known
 *   NOTE      the holder notes it after its wait
 *   COVER     WAIT covers TRUST
 */
#define HOSTS 2
#define MAXLOG 4
#define TRUST 2
#ifdef NO_COVER
#define WAIT 1
#else
#define WAIT 2
#endif

/* ---- the store: records 1..MAXLOG, index 0 is unused ---- */
byte log_len = 0;
byte holder[MAXLOG + 1];
bool is_released[MAXLOG + 1];
bool have_ended[MAXLOG + 1];      /* by the record, or noted later */
bool has_resigned[MAXLOG + 1];    /* told to hosts, which may miss it */

/* ---- the engine ---- */
byte highest = 0;

/* ---- hosts, by their processes ---- */
bool has_read[HOSTS];
byte seen[HOSTS];                 /* the newest record read */
byte wait_left[HOSTS];            /* until its predecessors have ended */
byte held[HOSTS];
byte trust_left[HOSTS];
byte first_trust_left = TRUST;
byte born[HOSTS];                 /* records up to this are not this process's */

/* Whether the holder of `h`'s newest record sends no more once `next` follows. */
#define is_over(h, next) (seen[h] == 0 || is_released[seen[h]] || has_resigned[seen[h]] || holder[seen[h]] == next)
#define is_next(h) (has_read[h] && log_len == seen[h] + 1)
#ifdef NO_UNMARKED
#define may_have_predecessors(h) (!have_ended[log_len] && has_read[h])
#else
#define may_have_predecessors(h) (!have_ended[log_len])
#endif
#ifdef NO_HONEST
#define can_tell(h) true
#else
#define can_tell(h) (wait_left[h] == 0 && is_over(h, h))
#endif
#ifdef NO_NOTE
#define may_note(h) true
#else
#define may_note(h) (wait_left[h] == 0)
#endif

inline receive(h)
{
    if
    :: log_len == 0 -> wait_left[h] = 0
    :: log_len > 0 && !may_have_predecessors(h) -> wait_left[h] = 0
    :: log_len > 0 && may_have_predecessors(h) ->
        if
        :: has_read[h] && seen[h] == log_len -> skip
        :: is_next(h) && is_over(h, holder[log_len]) ->
#ifdef NO_CHAIN
            wait_left[h] = 0
#else
            skip
#endif
        /* A host may have missed a resignation. */
        :: !has_read[h] || seen[h] != log_len -> wait_left[h] = WAIT
        fi
    fi;
    if
    :: !has_read[h] || seen[h] != log_len ->
        held[h] = 0;
        if
        :: log_len > born[h] && holder[log_len] == h && !is_released[log_len] ->
            held[h] = log_len
        :: else -> skip
        fi
    :: else -> skip
    fi;
    seen[h] = log_len;
    has_read[h] = true;
    trust_left[h] = TRUST
}

inline append(h, released)
{
    log_len++;
    holder[log_len] = h;
    is_released[log_len] = released;
    have_ended[log_len] = can_tell(h)
}

proctype Host(byte h)
{
end:
    do
    :: atomic { true -> receive(h) }
    :: atomic { has_read[h] && held[h] == 0 && seen[h] == log_len &&
                log_len < MAXLOG -> append(h, false) }
    :: atomic { held[h] != 0 && held[h] == log_len && log_len < MAXLOG ->
                append(h, true); held[h] = 0 }
    :: atomic { held[h] != 0 -> has_resigned[held[h]] = true; held[h] = 0 }
    :: atomic { held[h] != 0 && !have_ended[held[h]] && may_note(h) ->
                have_ended[held[h]] = true }
    :: atomic { held[h] != 0 && wait_left[h] == 0 && trust_left[h] > 0 ->
                assert(held[h] >= highest);
                highest = held[h] }
    :: atomic { has_read[h] ->                       /* killed, started anew */
                has_read[h] = false; seen[h] = 0; wait_left[h] = 0;
                held[h] = 0; trust_left[h] = 0; born[h] = log_len }
    od
}

/* Holds record 1 and is cut off from the other hosts, later from the store. */
proctype CutOff()
{
end:
    do
    :: atomic { log_len == 1 -> first_trust_left = TRUST }
    :: atomic { first_trust_left > 0 -> assert(highest <= 1); highest = 1 }
    od
}

proctype Clock()
{
    byte i;
end:
    do
    :: atomic {
        i = 0;
        do
        :: i < HOSTS ->
            wait_left[i] = (wait_left[i] > 0 -> wait_left[i] - 1 : 0);
            trust_left[i] = (trust_left[i] > 0 -> trust_left[i] - 1 : 0);
            i++
        :: else -> break
        od;
        first_trust_left = (first_trust_left > 0 -> first_trust_left - 1 : 0);
        i = 0
       }
    od
}

init
{
    atomic {
        /* The first record is of the holder that is cut off. */
        log_len = 1;
        holder[1] = HOSTS;
        have_ended[1] = true;
        run Clock();
        run CutOff();
        run Host(0);
        run Host(1)
    }
}
