/* The steward of a cold target shares its ramp limit by grants (section 5.7).
 * Over the steward, the VMs that hold grants, VMs that died and the steward
 * that follows, no more flows are placed than one ramp allows.
 *
 * One unit of time is 2.5 s; a ramp doubles each 5 s. Messages may be lost,
 * late, doubled and out of order: a grant once sent may be received at any
 * time and any number of times while the process that asked lives. Expiry is
 * left out, so that nothing depends on clocks or delays; a grant that is never
 * received stands for one that expired. Flows never end, and no report is
 * right. A steward may be replaced by one without any state. A VM may restart
 * at any time and asks again.
 *
 * FORGET_OUTSTANDING divides again what a VM that is silent was granted.
 * BY_VM grants to a VM instead of a process: a grant to the former process is
 * accepted by the next.
 * NO_INCREMENT lets the steward use the limit itself before it is divided.
 */
#define STEP 2       /* 5 s */
#define CAPACITY 16
#define STEWARDS 2
#define RESTARTS 1

byte gone;           /* flows of dead processes and former stewards */
byte own;            /* flows of the steward */
byte own_limit;
byte limit;          /* ramp limit of the steward, as divided */
byte since;          /* time since its last step */
byte given[2];       /* highest limit granted to the present process */
byte sent[2];        /* highest limit that a message to the process carries */
byte held[2];        /* flows */
byte allowed;        /* by one ramp */
byte phase;
byte tenures = 1;
byte restarts;
byte left;           /* to divide */

/* The steward divides what a step adds; any division is possible. */
inline divide(next)
{
    left = next - limit;
    limit = next;
#ifdef FORGET_OUTSTANDING
    if
    :: left = left + given[0]; given[0] = 0
    :: left = left + given[1]; given[1] = 0
    :: skip
    fi;
#endif
    do
    :: left > 0 -> left--; given[0]++
    :: break
    od;
    do
    :: left > 0 -> left--; given[1]++
    :: break
    od;
    own_limit = own_limit + left; left = 0;
#ifdef NO_INCREMENT
    own_limit = limit;
#endif
    sent[0] = (given[0] > sent[0] -> given[0] : sent[0]);
    sent[1] = (given[1] > sent[1] -> given[1] : sent[1]);
    if :: allowed == 0 -> allowed = 2; phase = 0 :: else fi
}

inline restart(vm)
{
    restarts++;
    gone = gone + held[vm]; held[vm] = 0;
#ifndef BY_VM
    sent[vm] = 0;
    given[vm] = 0;
#endif
}

/* The next steward has no state. Grants of the former one may still arrive:
 * what they allow is counted as placed. */
inline replace()
{
    tenures++;
    gone = gone + own; own = 0; own_limit = 0;
    gone = gone + (sent[0] > held[0] -> sent[0] : held[0]);
    gone = gone + (sent[1] > held[1] -> sent[1] : held[1]);
    held[0] = 0; held[1] = 0; sent[0] = 0; sent[1] = 0;
    given[0] = 0; given[1] = 0;
    limit = 0; since = 0
}

active proctype world()
{
end:
    do
    :: atomic {
        do
        :: break
        :: own < own_limit -> own = own_limit
        :: held[0] < sent[0] -> held[0] = sent[0]
        :: held[1] < sent[1] -> held[1] = sent[1]
        :: restarts < RESTARTS -> restart(0)
        :: restarts < RESTARTS -> restart(1)
        :: tenures < STEWARDS -> replace()
        od;
        assert(gone + own + held[0] + held[1] <= allowed);
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
        :: since >= STEP && limit == 0 -> divide(2); since = 0
        /* A step may also come late, as it needs a report. */
        :: since >= STEP && limit > 0 -> divide(limit * 2); since = 0
        :: since >= STEP && limit > 0 -> since = STEP
        :: since < STEP -> skip
        fi
    }
    od
}
