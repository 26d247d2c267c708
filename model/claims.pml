/*
 * At-most-once execution (docs/design.md, section 5.3): calls with one idempotency key, one agent.
 *
 * Names of records, verdicts, admissions and words are those of the code. An append may be lost, arrive late, or lose its answer; a
 * submit may be lost, arrive late, and be delivered a second time after it was delivered once; the agent may restart without memory
 * at any step; an entry may stop at any step. The verdict about a claim is fixed at its offset, so the model computes it there.
 *
 * Each macro of MUTATIONS removes one rule; the checker must then find an error.
 * MUTATIONS: ANY_CLAIM_WINS NO_INCARNATION_CHECK NO_GATE_MEMORY VOID_WITHOUT_WORD VOID_BY_SUCCESSOR FORGOTTEN_RENOUNCE
 * MUTATIONS: SUBMIT_AFTER_LOST_ANSWER VOID_AFTER_SUBMIT NOT_RUN_WITHOUT_WORD LOSER_WINS_AFTER_VOID
 */

#ifdef LARGE
#define CALLS 3
#define RESTARTS 2
#else
#define CALLS 3
#define RESTARTS 1
#endif
#define NONE 255

mtype:record = { claim, outcome, void };
mtype:verdict = { Pending, Won, Lost, Voided };
mtype:admission = { Run, AlreadyRun, Renounced, OtherIncarnation };
mtype:word = { NeverStarted, Started, Finished };

/* The log: what every reader derives from the records. */
mtype:verdict verdict[CALLS] = Pending;
byte validClaim = NONE;
bool appendUnderWay[CALLS];
bool hasOutcome[CALLS];

/* The agent. */
byte incarnation = 0;
bool admitted[CALLS];
bool renounced[CALLS];
bool started[CALLS];

/* The network between entries and the agent. */
byte agentIncarnation[CALLS];
bool submitUnderWay[CALLS];
bool copyUnderWay[CALLS];
bool connected[CALLS];
mtype:admission answer[CALLS];
bool hasAnswer[CALLS];

/* What really happened, for the assertions. */
byte executions;
bool executed[CALLS];
bool saidNotRun[CALLS];
bool voided[CALLS];

inline appendClaim(c)
{
    appendUnderWay[c] = false;
    if
#ifdef ANY_CLAIM_WINS
    :: true -> validClaim = c; verdict[c] = Won
#else
    :: validClaim == NONE -> validClaim = c; verdict[c] = Won
    :: else -> verdict[c] = Lost
#endif
    fi
}

inline appendVoid(c)
{
    if
    :: validClaim == c && !hasOutcome[c] ->
        assert(!executed[c]);
        validClaim = NONE;
        voided[c] = true;
        verdict[c] = Voided
#ifdef LOSER_WINS_AFTER_VOID
        ;
        if
        :: verdict[CALLS - 1] == Lost -> validClaim = CALLS - 1; verdict[CALLS - 1] = Won
        :: else
        fi
#endif
    :: else
    fi
}

inline appendOutcome(c)
{
    if
    :: validClaim == c -> hasOutcome[c] = true
    :: else
    fi
}

inline sayNotRun(c)
{
    assert(!executed[c]);
    saidNotRun[c] = true
}

inline execute(c)
{
    executions++;
    executed[c] = true;
    assert(executions <= 1);
    assert(!saidNotRun[c]);
    assert(!voided[c])
}

/* ClaimGate::admit */
inline admit(c, result)
{
    if
#ifndef NO_INCARNATION_CHECK
    :: agentIncarnation[c] != incarnation -> result = OtherIncarnation
    :: agentIncarnation[c] == incarnation && renounced[c] -> result = Renounced
    :: agentIncarnation[c] == incarnation && !renounced[c] && admitted[c] -> result = AlreadyRun
    :: agentIncarnation[c] == incarnation && !renounced[c] && !admitted[c] -> result = Run; admitted[c] = true
#else
    :: renounced[c] -> result = Renounced
    :: !renounced[c] && admitted[c] -> result = AlreadyRun
    :: !renounced[c] && !admitted[c] -> result = Run; admitted[c] = true
#endif
    fi;
#ifdef NO_GATE_MEMORY
    admitted[c] = false
#endif
}

/* ClaimGate::renounce; the word of the incarnation that the claim names. */
inline renounce(c, result)
{
    if
#ifndef VOID_BY_SUCCESSOR
    :: agentIncarnation[c] != incarnation -> result = Started
    :: agentIncarnation[c] == incarnation && admitted[c] -> result = Started
    :: agentIncarnation[c] == incarnation && !admitted[c] ->
#else
    :: admitted[c] -> result = Started
    :: !admitted[c] ->
#endif
        result = NeverStarted;
#ifndef FORGOTTEN_RENOUNCE
        renounced[c] = true
#endif
    fi
}

/* The log service: an append arrives late or never. */
proctype Log(byte c)
{
    atomic { appendUnderWay[c] -> if :: appendClaim(c) :: appendUnderWay[c] = false fi }
}

/* The network delivers a submit late or never, and a copy after the original. */
proctype Network(byte c)
{
    mtype:admission result;

    atomic {
        submitUnderWay[c] -> submitUnderWay[c] = false;
        if
        :: true -> admit(c, result); copyUnderWay[c] = true;
           if
           :: result == Run -> started[c] = true
           :: else -> answer[c] = result; hasAnswer[c] = true
           fi
        :: true -> connected[c] = false
        fi
    }
    atomic {
        copyUnderWay[c] -> copyUnderWay[c] = false; admit(c, result);
        if
        :: result == Run -> started[c] = true
        :: else
        fi
    }
}

/* The agent carries out an admitted call and appends its outcome, unless it restarts before. */
proctype Agent(byte c)
{
    do
    :: atomic {
        started[c] -> started[c] = false; execute(c);
        if
        :: appendOutcome(c)
        :: true
        fi
       }
    od
}

/* The agent restarts without memory. */
active proctype Restart()
{
    byte c;

    do
    :: atomic {
        incarnation < RESTARTS -> incarnation++;
        for (c : 0 .. CALLS - 1) {
            admitted[c] = false; renounced[c] = false; started[c] = false; connected[c] = false
        }
        c = 0
       }
    od
}

proctype Entry(byte c)
{
    byte other;
    mtype:word given;

    /* The entry knows some incarnation of the agent, maybe an old one. */
    atomic {
        if
        :: agentIncarnation[c] = incarnation
        :: incarnation > 0 -> agentIncarnation[c] = incarnation - 1
        fi;
        appendUnderWay[c] = true
    }
    if
    :: verdict[c] != Pending -> goto Read
    :: atomic { true -> sayNotRun(c) }
       /* The answer of the append was lost. The entry voids its claim when it finds it. */
#ifdef SUBMIT_AFTER_LOST_ANSWER
       verdict[c] != Pending; goto Read
#else
       if
       :: atomic { verdict[c] == Won -> appendVoid(c) }
       :: true
       fi;
       goto Stop
#endif
    fi;
Read:
    if
    :: verdict[c] == Won || verdict[c] == Voided -> goto Submit
    :: verdict[c] == Lost -> goto Wait
    fi;
Submit:
    if
    :: true -> submitUnderWay[c] = true; connected[c] = true
    :: atomic { true -> sayNotRun(c); appendVoid(c) }; goto Stop
    :: true -> goto Stop
    fi;
    if
    :: atomic { hasAnswer[c] && answer[c] == OtherIncarnation -> sayNotRun(c); appendVoid(c) }
    :: atomic { hasAnswer[c] && answer[c] == Renounced -> sayNotRun(c) }
    :: hasAnswer[c] && answer[c] == AlreadyRun
    :: executed[c]
    :: atomic {
        /* Agent.cancel asks for the word of the agent. */
        true -> renounce(c, given);
        if
        :: given == NeverStarted -> sayNotRun(c); appendVoid(c)
        :: else
        fi
       }
#ifdef VOID_AFTER_SUBMIT
    :: atomic { !connected[c] -> appendVoid(c) }
#endif
#ifdef NOT_RUN_WITHOUT_WORD
    :: atomic { true -> sayNotRun(c) }
#endif
    :: true
    fi;
    goto Stop;
Wait:
    if
    :: validClaim != NONE && hasOutcome[validClaim]
    :: atomic {
        validClaim != NONE && validClaim != c -> other = validClaim; renounce(other, given);
#ifdef VOID_WITHOUT_WORD
        given = NeverStarted;
#endif
       }
       if
       :: given == NeverStarted -> atomic { appendVoid(other) }
       :: else
       fi
#ifdef LOSER_WINS_AFTER_VOID
    /* The caller was told that this call has ended. */
    :: atomic { true -> sayNotRun(c) }; verdict[c] == Won; goto Submit
#endif
    :: true
    fi;
Stop:
    skip
}

init
{
    byte c;
    atomic {
        for (c : 0 .. CALLS - 1) {
            run Entry(c); run Log(c); run Network(c); run Agent(c)
        }
    }
}
