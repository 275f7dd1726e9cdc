/* At most one VM acts as steward of a cold target (section 5.7).
 *
 * One unit of time is 10 s. VM 0 ranks first for the target, then VM 1, then
 * VM 2. The list may change at any time, also against the truth; a read may
 * fail, and shows the list of up to LAG units ago. Messages between any two
 * VMs may be lost for any time, and a VM may restart and lose its memory.
 *
 * Assumption: a VM that goes off the list stays off it for OFF units. FLAPPING
 * takes it out.
 *
 * NO_LIST_AGE, NO_LISTED, NO_HOLD, NO_GAP_RESET, LISTED_BY_CLOCK, LAG_IGNORED
 * and PAGE_RULE each take a rule out; PAGE_RULE has the alternatives of section
 * 5.7 as written.
 */
#ifndef N
#define N 2
#endif
#ifndef LAG
#define LAG 1
#endif
#define AGE 3      /* oldest list content, 30 s */
#ifndef LISTED
#define LISTED 4   /* 35 s, rounded up */
#endif
#define HOLD 6     /* possibly alive for 60 s */
#ifdef FLAPPING
#define OFF 1
#else
#define OFF (AGE + LAG + 1)
#endif

byte now_listed;               /* one bit for each VM */
byte past_listed[LAG + 1];     /* [0] is the present */
byte off_for[N];               /* units since it went off, up to OFF */
byte list[N];                  /* the list that each VM holds */
byte age[N];                   /* age of its content, AGE + 1 is too old */
byte listed_for[N];            /* between the first and the last content of a
                                  run of lists that name the VM */
bool has_read[N];
byte hold[N * N];              /* time for which v still counts w */
#ifdef PAGE_RULE
byte heard[N * N];             /* time since v received from w, up to AGE + 1 */
bool acked[N * N];
#endif

#define IN(set, v) (((set) >> (v)) & 1)
#define COUNTS(v, w) (v == w || IN(list[v], w) || hold[v * N + w] > 0)

inline compute_acts(v, result)
{
    result = has_read[v];
    w = 0;
    do
    :: w < v -> if :: COUNTS(v, w) -> result = false :: else fi; w++
    :: else -> break
    od;
#ifdef PAGE_RULE
    all_heard = true; all_acked = true; w = 0;
    do
    :: w < N ->
        if
        :: w != v && COUNTS(v, w) ->
            all_heard = all_heard && heard[v * N + w] <= AGE;
            all_acked = all_acked && acked[v * N + w]
        :: else
        fi;
        w++
    :: else -> break
    od;
    result = result && (age[v] <= AGE || all_heard) &&
             (listed_for[v] >= LISTED || all_acked)
#else
#ifndef NO_LIST_AGE
    result = result && age[v] <= AGE;
#endif
#ifndef NO_LISTED
    result = result && listed_for[v] >= LISTED;
#endif
#endif
}

inline read_list(v, lag)
{
    w = 0;
    do
    :: w < N ->
#ifndef NO_HOLD
        if
        :: w != v && IN(list[v], w) && !IN(past_listed[lag], w) ->
            hold[v * N + w] = HOLD
        :: else
        fi;
#endif
        w++
    :: else -> break
    od;
#ifndef LISTED_BY_CLOCK
    if
#ifndef NO_GAP_RESET
    :: age[v] > AGE -> listed_for[v] = 0
#endif
    :: else ->
        if
        :: IN(list[v], v) && listed_for[v] + age[v] >= LISTED + LAG ->
            listed_for[v] = LISTED
        :: IN(list[v], v) && listed_for[v] + age[v] < LISTED + LAG ->
            listed_for[v] = listed_for[v] + age[v] - LAG
        :: else
        fi
    fi;
#endif
    list[v] = past_listed[lag];
    has_read[v] = true;
#ifdef LAG_IGNORED
    age[v] = 0;
#else
    age[v] = LAG;
#endif
    if :: IN(list[v], v) -> skip :: else -> listed_for[v] = 0 fi
}

inline restart(v)
{
    list[v] = 0; age[v] = AGE + 1; listed_for[v] = 0; has_read[v] = false;
    w = 0;
    do
    :: w < N -> hold[v * N + w] = 0;
#ifdef PAGE_RULE
        heard[v * N + w] = AGE + 1; acked[v * N + w] = false;
#endif
        w++
    :: else -> break
    od
}

inline older(value, limit)
{
    if :: value < limit -> value++ :: else fi
}

active proctype world()
{
    byte v, w, lag, acting;
    bool acts;
#ifdef PAGE_RULE
    bool all_heard, all_acked;
#endif
    d_step {
        v = 0;
        do :: v < N -> restart(v); off_for[v] = OFF; v++ :: else -> break od;
        v = 0; w = 0; lag = 0; acts = false
    }
    do
    :: atomic {
        /* The platform's list, for each VM. */
        v = 0;
        do
        :: v < N ->
            if
            :: skip
            :: IN(now_listed, v) ->
                now_listed = now_listed ^ (1 << v); off_for[v] = 0
            :: !IN(now_listed, v) && off_for[v] >= OFF ->
                now_listed = now_listed ^ (1 << v); off_for[v] = 0
            fi;
            v++
        :: else -> break
        od;
        past_listed[0] = now_listed;
        v = 0;
        do
        :: v < N ->
            if
            :: skip
            :: read_list(v, 0)
            :: read_list(v, LAG)
            :: restart(v)
            fi;
            v++
        :: else -> break
        od;
        /* Each pair is connected or not. */
        v = 0;
        do
        :: v < N ->
            lag = v + 1;
            do
            :: lag < N ->
                if
                :: skip
                :: hold[v * N + lag] = HOLD; hold[lag * N + v] = HOLD;
#ifdef PAGE_RULE
                    heard[v * N + lag] = 0; heard[lag * N + v] = 0;
                    acked[v * N + lag] = true; acked[lag * N + v] = true;
#endif
                fi;
                lag++
            :: else -> break
            od;
            v++
        :: else -> break
        od;
        lag = 0;
        d_step {
            acting = 0; v = 0;
            do
            :: v < N -> compute_acts(v, acts); acting = acting + acts; v++
            :: else -> break
            od;
            assert(acting <= 1);
            /* Time passes. */
            v = 0;
            do
            :: v < N ->
                older(age[v], AGE + 1);
                if
                :: !IN(now_listed, v) -> older(off_for[v], OFF)
                :: else
                fi;
#ifdef LISTED_BY_CLOCK
                if
                :: IN(list[v], v) -> older(listed_for[v], LISTED)
                :: else
                fi;
#endif
                w = 0;
                do
                :: w < N ->
                    if
                    :: hold[v * N + w] > 0 -> hold[v * N + w]--
                    :: else
                    fi;
#ifdef PAGE_RULE
                    older(heard[v * N + w], AGE + 1);
#endif
                    w++
                :: else -> break
                od;
                v++
            :: else -> break
            od;
            v = LAG;
            do :: v > 0 -> past_listed[v] = past_listed[v - 1]; v--
               :: else -> break od;
            v = 0; w = 0; acts = false; acting = 0
        }
    }
    od
}
