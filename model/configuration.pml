/*
 * Accepted configuration (docs/design.md, section 5.1): racing publishers, orders about one instance, and two readers.
 *
 * Names of records are those of the code. An append may reach the log twice and late. The log drops old records at any step (retention). Reader 1
 * may start late, and learns from the log or from lists of reader 0, which arrive late. A version is the offset of the last accepted
 * record plus one; 0 is the state before the first one. A list has the accepted records after the version that its `header` names.
 *
 * Each macro of MUTATIONS removes one rule; the checker must then find an error.
 * MUTATIONS: NO_BASE_CHECK NO_ID_CHECK LATE_SNAPSHOT SNAPSHOT_WITH_GAP LIST_WITH_GAP OLD_OFFSETS
 */

#ifdef LARGE
#define LENGTH 6
#else
#define LENGTH 5
#endif
#define READERS 2
#define IDS 4
#define NO_ID 255
#define NONE 255

mtype:record = { publish, drain, replace, snapshot, header };

/* The log. */
byte length;
byte firstKept;
mtype:record kind[LENGTH];
byte id[LENGTH];
byte base[LENGTH];
/* Content of a snapshot. */
byte covers[LENGTH];
byte coversDocument[LENGTH];
bool coversDraining[LENGTH];
byte coversIds[LENGTH];

/* Readers: ConfigurationLog and ConfigurationReplica. */
byte version[READERS];
byte document[READERS];
bool draining[READERS];
byte ids[READERS];
byte next[READERS];
/* Offsets of the records that reader 0 keeps for peers, and the version after which they are complete. */
byte kept;
byte keptSince;

/* A list in transit to reader 1. */
bool listUnderWay;
byte listRecords;
byte listSince;
byte listVersion;

/* What was accepted anywhere, for the assertions. */
byte acceptedAt[IDS] = NONE;
byte replacedBy[LENGTH + 1] = NONE;

#ifdef NO_BASE_CHECK
#define baseIsCurrent(r, i) true
#else
#define baseIsCurrent(r, i) (base[i] == document[r])
#endif
#ifdef NO_ID_CHECK
#define idIsNew(r, i) true
#else
/* The ids of old records may be forgotten, so the rule about offsets must suffice for them. */
#define idIsNew(r, i) (i < next[r] || (ids[r] & (1 << id[i])) == 0)
#endif
#ifdef SNAPSHOT_WITH_GAP
#define isUsable(i) true
#else
#define isUsable(i) (covers[i] >= firstKept)
#endif
#ifdef LIST_WITH_GAP
#define continuesOwn true
#else
#define continuesOwn (listSince <= version[1])
#endif
#ifdef OLD_OFFSETS
#define isNext(r, i) true
#else
#define isNext(r, i) (i >= next[r])
#endif

inline agree()
{
    assert(version[0] != version[1] || (document[0] == document[1] && draining[0] == draining[1]))
}

inline accept(r, i)
{
    /* One record of each id takes effect, the same one in every reader. */
    assert(acceptedAt[id[i]] == NONE || acceptedAt[id[i]] == i);
    acceptedAt[id[i]] = i;
    /* A version never reverts. */
    assert(version[r] < i + 1);
    version[r] = i + 1;
    ids[r] = ids[r] | (1 << id[i]);
    if
    :: r == 0 -> kept = kept | (1 << i)
    :: else
    fi
}

/* ConfigurationLog::apply */
inline apply(r, i)
{
    if
    :: isNext(r, i) ->
        if
        :: kind[i] == publish && idIsNew(r, i) && baseIsCurrent(r, i) ->
            /* No update is lost: one document replaces another one at most once. */
            assert(replacedBy[base[i]] == NONE || replacedBy[base[i]] == i);
            replacedBy[base[i]] = i;
            accept(r, i);
            document[r] = i + 1
        :: kind[i] == drain && idIsNew(r, i) -> accept(r, i); draining[r] = true
        :: kind[i] == replace && idIsNew(r, i) -> accept(r, i); draining[r] = false
        :: else
        fi;
        if
        :: next[r] < i + 1 -> next[r] = i + 1
        :: else
        fi
    :: else
    fi
}

/* ConfigurationLog::restore */
inline restore(r, i)
{
    assert(version[r] <= covers[i]);
    version[r] = covers[i];
    document[r] = coversDocument[i];
    draining[r] = coversDraining[i];
    ids[r] = coversIds[i];
    next[r] = covers[i];
    if
    :: r == 0 -> kept = 0; keptSince = version[0]
    :: else
    fi
}

inline append(k, recordId, recordBase)
{
    kind[length] = k;
    id[length] = recordId;
    base[length] = recordBase;
    length++
}

/* An operator publishes under the base that reader 0 or 1 knows; the append may reach the log a second time. */
proctype Publisher(byte me)
{
    byte known;

    atomic { if :: known = document[0] :: known = document[1] fi };
    atomic { length < LENGTH -> append(publish, me, known) };
    atomic { me == 0 && length < LENGTH -> append(publish, me, known) }
}

/* An operator drains the instance and puts it back into service; the first append may reach the log again. */
proctype InstanceOperator()
{
    atomic { length < LENGTH -> append(drain, 2, 0) };
    atomic { length < LENGTH -> append(replace, 3, 0) };
    atomic { length < LENGTH -> append(drain, 2, 0) }
}

/* A reader writes a snapshot, which reaches the log late. */
proctype SnapshotWriter()
{
    byte atVersion;
    byte atDocument;
    bool atDraining;
    byte atIds;

    byte r;

    /* Of reader 0 or reader 1. */
    atomic {
        if :: version[0] > 0 -> r = 0 :: version[1] > 0 -> r = 1 fi;
        atVersion = version[r]; atDocument = document[r]; atDraining = draining[r]; atIds = ids[r]; r = 0
    };
    atomic {
        length < LENGTH ->
        covers[length] = atVersion; coversDocument[length] = atDocument; coversDraining[length] = atDraining; coversIds[length] = atIds;
        append(snapshot, NO_ID, 0)
    }
}

proctype Retention()
{
#ifdef LARGE
    do
    :: atomic { firstKept < length -> firstKept++ }
    od
#else
    atomic { length >= 3 -> firstKept = 3 }
#endif
}

proctype Reader(byte r)
{
    byte i;

    do
    :: d_step { next[r] >= firstKept && next[r] < length -> i = next[r]; apply(r, i); agree(); i = 0 }
    /* ConfigurationReplica: records are missing, so a snapshot that is still in the log is taken. */
    :: atomic {
#ifdef LATE_SNAPSHOT
        true ->
#else
        next[r] < firstKept ->
#endif
        i = firstKept;
        do
        :: i < length && kind[i] == snapshot && isUsable(i) ->
            restore(r, i); agree();
            break
        :: i < length && !(kind[i] == snapshot && isUsable(i)) -> i++
        :: i >= length -> break
        od;
        i = 0
       }
    od
}

/* Reader 0 sends lists to reader 1 by exchange. */
proctype Exchange()
{
    byte i;

    do
    /* Reader 0 keeps a bounded number of records for peers. */
    :: atomic { kept != 0 && keptSince < version[0] -> kept = 0; keptSince = version[0] }
    :: atomic { !listUnderWay && version[0] > version[1] -> listUnderWay = true; listRecords = kept; listSince = keptSince; listVersion = version[0] }
    :: d_step {
        listUnderWay -> listUnderWay = false;
        if
        :: continuesOwn ->
            for (i : 0 .. LENGTH - 1) {
                if
                :: (listRecords & (1 << i)) != 0 -> apply(1, i)
                :: else
                fi
            }
        :: else
        fi;
        i = 0; listRecords = 0; listSince = 0; listVersion = 0;
        agree()
       }
    od
}

init
{
    atomic {
        run Publisher(0); run Publisher(1); run InstanceOperator(); run SnapshotWriter(); run Retention();
        run Reader(0); run Reader(1); run Exchange()
    }
}
