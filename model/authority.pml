/*
 * Leases and fenced orders (docs/design.md, section 5.2): one scope, two contenders, one endpoint and its agent.
 *
 * Names of records and of the gate's states are those of the code. The expiry of a lease is an event of its own: safety rests on the
 * gate, so the model lets a contender acquire at any time and a holder be paused at any step. Orders arrive late, and a second time.
 * A write to the endpoint takes effect late, but within the order's lifetime. The agent and the endpoint may crash at any step.
 *
 * Each macro of MUTATIONS removes one rule; the checker must then find an error. CHECKS_FENCING models an endpoint that refuses old
 * tokens; the proof holds with and without it (see VARIANTS). UNPROVED names the case that the design leaves open: a predecessor of
 * the agent that is paused between its check and its write.
 * MUTATIONS: NO_EXPIRY_CHECK RENEW_OF_OLD_EPOCH NO_AUTHORITY_READ NO_EPOCH_CHECK NO_INCARNATION_CHECK
 * MUTATIONS: NO_READ_BACK READ_BACK_WITHIN_LIFETIME NO_LIFETIME_CHECK TWO_ORDERS_AT_ONCE REPEATED_ORDERS
 * VARIANTS: CHECKS_FENCING
 * UNPROVED: PAUSED_PREDECESSOR PAUSED_PREDECESSOR+CHECKS_FENCING
 */

#ifdef LARGE
#define ACQUIRES 3
#define ORDERS 2
#define RESTARTS 2
#define CRASHES 2
#else
#define ACQUIRES 2
#define ORDERS 2
#define RESTARTS 1
#define CRASHES 1
#endif
#define HOLDERS 2
#define NO_EPOCH 0
#define NO_ORDER 255

mtype:record = { acquire, renew };
mtype:state = { ReadBackPending, Ready, AuthorityPending, Writing };

/* The log: newest epoch; epochs count the records `acquire`. */
byte newest = NO_EPOCH;
byte acquires;

/* Orders in transit: epoch, addressed incarnation, and whether the lifetime since the receipt is over. */
byte orders;
byte orderEpoch[ORDERS];
byte orderIncarnation[ORDERS];
bool orderUnderWay[ORDERS];
bool copyUnderWay[ORDERS];
bool lifetimeOver[ORDERS];

/* OrderGate of the agent. */
byte incarnation;
mtype:state gateState = ReadBackPending;
byte seenEpoch = NO_EPOCH;
byte current = NO_ORDER;
bool authorityRead;
bool received[ORDERS];
byte newestAtReceipt;
byte crashes;

/* Writes that may still take effect at the endpoint. */
bool writeUnderWay[ORDERS];
byte effectEpoch = NO_EPOCH;
byte checkedToken = NO_EPOCH;
byte effects[ORDERS];

#ifdef PAUSED_PREDECESSOR
byte pausedOrder = NO_ORDER;
#endif

/* Rules; each one can be removed by its macro. */
#ifdef NO_EXPIRY_CHECK
#define notExpired true
#else
#define notExpired (!expired)
#endif
#ifdef NO_INCARNATION_CHECK
#define sameIncarnation(order) true
#else
#define sameIncarnation(order) (orderIncarnation[order] == incarnation)
#endif
#ifdef NO_EPOCH_CHECK
#define notOldEpoch(order) true
#define newestEpoch(order) true
#else
#define notOldEpoch(order) (orderEpoch[order] >= seenEpoch)
#define newestEpoch(order) (orderEpoch[order] == seenEpoch)
#endif
#ifdef REPEATED_ORDERS
#define notRepeated(order) true
#else
#define notRepeated(order) (!received[order])
#endif
#ifdef TWO_ORDERS_AT_ONCE
#define isReady (gateState != ReadBackPending)
#else
#define isReady (gateState == Ready)
#endif
#ifdef NO_LIFETIME_CHECK
#define withinLifetime(order) true
#else
#define withinLifetime(order) (!lifetimeOver[order])
#endif
#ifdef NO_AUTHORITY_READ
#define authorityIsRead true
#else
#define authorityIsRead authorityRead
#endif
#ifdef READ_BACK_WITHIN_LIFETIME
#define writesHaveEnded true
#else
#define writesHaveEnded (!anyWriteUnderWay)
#endif

#define otherWriteUnderWay(order) ((order != 0 && writeUnderWay[0]) || (order != 1 && writeUnderWay[1]))
#define anyWriteUnderWay otherWriteUnderWay(NO_ORDER)

proctype Holder(byte me)
{
    byte epoch = NO_EPOCH;
    bool expired;

    do
    /* LeaseActionKind::AppendAcquire; the answer may be lost, the record is then found by reading. */
    :: atomic { epoch == NO_EPOCH && acquires < ACQUIRES -> acquires++; newest = acquires; epoch = newest; expired = false }
    /* The ttl ends, perhaps while the process is paused. */
    :: atomic { epoch != NO_EPOCH && !expired -> expired = true }
    /* LeaseActionKind::AppendRenew: takes effect only under the newest epoch. */
    :: atomic {
        epoch != NO_EPOCH && !expired ->
#ifdef RENEW_OF_OLD_EPOCH
        newest = epoch
#else
        skip
#endif
       }
    /* LeaseActionKind::Lost */
    :: atomic { epoch != NO_EPOCH && expired -> epoch = NO_EPOCH }
    :: atomic {
        epoch != NO_EPOCH && orders < ORDERS && notExpired ->
        assert(!expired);
        orderEpoch[orders] = epoch;
        orderIncarnation[orders] = incarnation;
        orderUnderWay[orders] = true;
        orders++
       }
    od
}

inline write(order)
{
    gateState = Writing;
    /* No conflicting orders: no earlier write may still take effect. */
    assert(!otherWriteUnderWay(order));
    writeUnderWay[order] = true
}

/* OrderGate::receive */
inline receive(order)
{
    if
    :: sameIncarnation(order) && notOldEpoch(order) && notRepeated(order) && isReady ->
       received[order] = true; current = order; newestAtReceipt = newest; authorityRead = false; lifetimeOver[order] = false; gateState = AuthorityPending
    :: else
    fi
}

/* OrderGate::authorize, followed by the write in the same turn */
inline authorize()
{
    if
    :: newestEpoch(current) && withinLifetime(current) ->
       /* No order of a holder that had lost the lease when the agent received it. */
       assert(orderEpoch[current] >= newestAtReceipt);
       /* No order has an effect after a newer epoch was read. */
       assert(orderEpoch[current] >= seenEpoch && orderEpoch[current] >= effectEpoch);
       assert(!lifetimeOver[current]);
#ifdef PAUSED_PREDECESSOR
       if
       :: pausedOrder == NO_ORDER -> pausedOrder = current; gateState = Writing
       :: true -> write(current)
       fi
#else
       write(current)
#endif
    :: else -> current = NO_ORDER; newestAtReceipt = 0; gateState = Ready
    fi
}

proctype Delivery(byte order)
{
    atomic { orderUnderWay[order] -> orderUnderWay[order] = false; if :: receive(order); copyUnderWay[order] = true :: true fi };
    atomic { copyUnderWay[order] -> copyUnderWay[order] = false; receive(order) }
}

/* The endpoint carries out a write late, answers it or not, and ends it at the latest with the order's lifetime. */
proctype Endpoint(byte order)
{
    do
    :: atomic {
        writeUnderWay[order] -> writeUnderWay[order] = false;
        if
#ifdef CHECKS_FENCING
        :: orderEpoch[order] < checkedToken
        :: orderEpoch[order] >= checkedToken ->
            checkedToken = orderEpoch[order];
#else
        :: true ->
#endif
            assert(orderEpoch[order] >= effectEpoch);
            effectEpoch = orderEpoch[order];
            effects[order]++;
            assert(effects[order] <= 1)
        :: true
        fi;
        if
        :: current == order && gateState == Writing -> current = NO_ORDER; newestAtReceipt = 0; gateState = ReadBackPending
        :: true
        fi
       }
    /* The lifetime of the order ends on the agent's clock; what was not written by then has no effect. */
    :: atomic { !lifetimeOver[order] && received[order] -> lifetimeOver[order] = true; writeUnderWay[order] = false }
    od
}

active proctype Agent()
{
    do
    /* Reads stream `authority` to its end. */
    :: atomic { seenEpoch < newest || (gateState == AuthorityPending && !authorityRead) -> seenEpoch = newest; authorityRead = true }
    :: atomic {
        gateState == AuthorityPending && authorityIsRead -> authorize()
       }
    /* OrderGate::abandon: the stream cannot be read. */
    :: atomic { gateState == AuthorityPending -> current = NO_ORDER; newestAtReceipt = 0; gateState = Ready }
    /* OrderGate::finishWrite without an answer. */
    :: atomic { gateState == Writing -> current = NO_ORDER; newestAtReceipt = 0; gateState = ReadBackPending }
#ifdef NO_READ_BACK
    :: atomic { gateState == ReadBackPending -> gateState = Ready }
#endif
    /* OrderGate::finishReadBack; after a write without an answer only once its lifetime is over. */
    :: atomic {
        gateState == ReadBackPending && writesHaveEnded -> gateState = Ready
       }
    /* The endpoint crashes: its writes end, and its state is read back first (OrderGate::handleEndpointRestart). */
    :: atomic {
        crashes < CRASHES -> crashes++;
        writeUnderWay[0] = false; writeUnderWay[1] = false;
        checkedToken = NO_EPOCH;
        current = NO_ORDER; newestAtReceipt = 0; gateState = ReadBackPending
       }
    /* The agent restarts without memory; its writes may still take effect. */
    :: atomic {
        incarnation < RESTARTS -> incarnation++;
        received[0] = false; received[1] = false;
        gateState = ReadBackPending; seenEpoch = NO_EPOCH; current = NO_ORDER; newestAtReceipt = 0; authorityRead = false
       }
#ifdef PAUSED_PREDECESSOR
    :: atomic {
        pausedOrder != NO_ORDER && incarnation > orderIncarnation[pausedOrder] ->
        assert(!otherWriteUnderWay(pausedOrder));
        writeUnderWay[pausedOrder] = true
       }
#endif
    od
}

init
{
    byte i;
    atomic {
        for (i : 0 .. HOLDERS - 1) { run Holder(i) }
        for (i : 0 .. ORDERS - 1) { run Delivery(i); run Endpoint(i) }
    }
}
