/*
 * The lease of the duties and the usage reports (docs/design/duties.md): gateways, the store and the platform.
 *
 * The store gives the lease to any gateway at any time. A gateway is killed, or stops for any time between two steps. A renewal, an append and a read
 * are one step each; an append may also be executed without an answer, or later, or never, and a call to the platform later or never. Time advances
 * in ticks for all processes alike. Each token has other counts, so a window that is computed under two tokens is found.
 *
 * Each macro of MUTATIONS removes one rule; the checker must then find an error.
 * MUTATIONS: ACT_AFTER_LEASE_END SEND_BEFORE_WRITE TAKEOVER_WITHOUT_READ NO_WAIT WAIT_WITHOUT_RENEWAL
 */

#ifdef LARGE
#define GENERATIONS 5
#else
#define GENERATIONS 3
#endif
#define GATEWAYS 2
/* Ticks for which a renewal is valid, and for which a new holder waits. */
#define LEASE 2
#define NONE 255

mtype:stage = { Claim, Read, Report };

/* The store, with the report of one window; counts of 0 mean that it is not written. Windows are independent of each other. */
byte generation = 1;
byte holder = 0;
byte epoch = 0;
byte record = 0;

/* An append and a call that are executed later. */
byte lateEpoch = 0;
byte lateCounts = 0;

/* The gateways: ticks for which the lease is valid, ticks since the first answer of the generation. */
byte valid[GATEWAYS];
byte since[GATEWAYS];
byte token[GATEWAYS];
bool waitOver[GATEWAYS];
/* A gateway that was killed is another member of the group after its start. */
byte startedAt[GATEWAYS];
mtype:stage stage[GATEWAYS] = Claim;
/* Counts of the window that the gateway may send. */
byte known[GATEWAYS];

/* The platform, and what the assertions need. */
byte accepted = 0;
byte highestToken = 0;
byte senderOf[GENERATIONS + 1];
byte lastSender = NONE;
byte sinceCall[GATEWAYS] = LEASE;
bool hasKilled = false;

#ifdef ACT_AFTER_LEASE_END
#define MAY_ACT(g) (waitOver[g])
#elif defined(WAIT_WITHOUT_RENEWAL)
#define MAY_ACT(g) ((waitOver[g] || since[g] >= LEASE) && valid[g] > 0)
#else
#define MAY_ACT(g) (waitOver[g] && valid[g] > 0)
#endif

inline accept(counts)
{
    assert(accepted == 0 || accepted == counts);
    accepted = counts
}

inline send(g)
{
    assert(token[g] >= highestToken);
    highestToken = token[g];
    assert(senderOf[token[g]] == 0 || senderOf[token[g]] == g + 1);
    senderOf[token[g]] = g + 1;
    assert(lastSender == g || sinceCall[g] >= LEASE);
    lastSender = g;
    sinceCall[g] = 0;
    if
    :: accept(known[g])
    :: lateCounts == 0 -> lateCounts = known[g]
    fi
}

/* DutyLeaseState::recordGrant */
inline renew(g)
{
    if
    :: holder == g && generation > startedAt[g] ->
        if
        :: valid[g] == 0 -> waitOver[g] = false; since[g] = 0
        :: else
        fi;
        if
        :: token[g] != generation -> token[g] = generation; since[g] = 0; stage[g] = Claim
        :: else
        fi;
        valid[g] = LEASE;
#ifdef NO_WAIT
        waitOver[g] = true
#else
        waitOver[g] = waitOver[g] || since[g] >= LEASE
#endif
    :: else -> valid[g] = 0;
#ifndef ACT_AFTER_LEASE_END
        waitOver[g] = false
#endif
    fi
}

/* The answer of an append may be lost; the gateway then repeats it. */
inline write(g)
{
    if
    :: token[g] < epoch -> waitOver[g] = false; valid[g] = 0
    :: token[g] >= epoch ->
        epoch = token[g];
        record = token[g];
        if
        :: known[g] = token[g]
        :: true
        fi
    :: lateEpoch == 0 -> lateEpoch = token[g]
    fi
}

proctype Gateway(byte g)
{
    do
    :: atomic { true -> renew(g) }
    :: atomic {
        MAY_ACT(g) && stage[g] == Claim ->
        if
        :: token[g] < epoch -> waitOver[g] = false; valid[g] = 0
        :: else -> epoch = token[g]; stage[g] = Read
        fi
       }
    :: atomic {
        MAY_ACT(g) && stage[g] == Read -> stage[g] = Report;
#ifndef TAKEOVER_WITHOUT_READ
        known[g] = record
#endif
       }
#ifdef SEND_BEFORE_WRITE
    :: atomic { MAY_ACT(g) && stage[g] == Report && known[g] == 0 -> known[g] = token[g]; send(g); known[g] = 0 }
#endif
    :: atomic { MAY_ACT(g) && stage[g] == Report && known[g] == 0 -> write(g) }
    :: atomic { MAY_ACT(g) && stage[g] == Report && known[g] != 0 -> send(g) }
    :: atomic {
        !hasKilled -> hasKilled = true;
        valid[g] = 0; since[g] = 0; token[g] = 0; waitOver[g] = false; stage[g] = Claim;
        known[g] = 0; startedAt[g] = generation
       }
    od
}

active proctype Store()
{
    do
    :: atomic { generation < GENERATIONS -> generation++; if :: holder = 0 :: holder = 1 fi }
    /* A repeat of an append that was executed has no effect, and one of a lower epoch is rejected. */
    :: atomic {
        lateEpoch != 0 ->
        if
        :: lateEpoch > epoch || (lateEpoch == epoch && record == 0) -> epoch = lateEpoch; record = lateEpoch
        :: else
        fi;
        lateEpoch = 0
       }
    od
}

active proctype Platform()
{
    do
    :: atomic {
        lateCounts != 0 ->
        if
        :: accept(lateCounts)
        :: true
        fi;
        lateCounts = 0
       }
    od
}

active proctype Clock()
{
    byte g;

    do
    :: atomic {
        for (g : 0 .. GATEWAYS - 1) {
            valid[g] = (valid[g] > 0 -> valid[g] - 1 : 0);
            since[g] = (since[g] < LEASE -> since[g] + 1 : LEASE);
            sinceCall[g] = (sinceCall[g] < LEASE -> sinceCall[g] + 1 : LEASE)
        }
        g = 0
       }
    od
}

init
{
    atomic { run Gateway(0); run Gateway(1) }
}
