/* Successive stewards of a cold target together place no more flows than one
 * ramp that began with the first of them (section 5.7).
 *
 * One unit of time is 2.5 s; a ramp doubles each 5 s. A steward may be replaced
 * at any time by one without any state, and no report is right. Flows never
 * end. NO_WAIT lets a steward place flows at once.
 */
#define STEP 2       /* 5 s */
#define CAPACITY 32
#define STEWARDS 4

byte placed;     /* by former stewards */
byte own;        /* by the present one */
byte limit;      /* of the present one */
byte since;      /* time since its last step */
byte allowed;    /* by one ramp */
byte phase;      /* time since that ramp's last step */
byte tenures = 1;

inline first_limit()
{
    limit = 2;
    if :: allowed == 0 -> allowed = 2; phase = 0 :: else fi
}

active proctype world()
{
#ifdef NO_WAIT
    first_limit();
#endif
end:
    do
    :: atomic {
        if
        :: skip
        :: own = limit
        :: tenures < STEWARDS ->
            tenures++; placed = placed + own; own = 0; limit = 0; since = 0;
#ifdef NO_WAIT
            first_limit(); own = limit
#endif
        fi;
        assert(placed + own <= allowed);
        if
        :: allowed > 0 -> phase++;
            if
            :: phase == STEP && allowed < CAPACITY ->
                allowed = allowed * 2; phase = 0
            :: phase == STEP && allowed >= CAPACITY -> break
            :: else
            fi
        :: else
        fi;
        since++;
        if
        :: since >= STEP && limit == 0 -> first_limit(); since = 0
        /* A step may also come late, as it needs a report. */
        :: since >= STEP && limit > 0 -> limit = limit * 2; since = 0
        :: since >= STEP && limit > 0 -> since = STEP
        :: since < STEP -> skip
        fi
    }
    od
}
