@0xd3a6f1f0b1c94e21;

# Messages between the processes of mimosatally. docs/design.md, section 3.2, describes their use.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("mimosatally::schema");

struct Peer {
  process @0 :Text;
  incarnation @1 :Text;
  # Changes with every start of the process.
  configurationVersion @2 :Int64;
  # -1 before the first version.
  leaving @3 :Bool;
  role @4 :Text;
  # "entry" or "agent".
}

struct StreamRecord {
  offset @0 :Int64;
  payload @1 :Text;
  # JSON as in the log.
}

struct Load {
  waitingRequests @0 :UInt32;
  runningRequests @1 :UInt32;
  waitingTokens @2 :Int64;
  # Prompt and expected output tokens of waiting requests.
  runningTokens @3 :Int64;
  prefillTokensPerSecond @4 :Float64;
  decodeTokensPerSecond @5 :Float64;
  freeCacheBlocks @6 :Int64;
  role @7 :Text;
  # "prefill", "decode" or "mixed".
  models @8 :List(Text);
  healthy @9 :Bool;
  reportAgeMs @10 :UInt32;
  # Age of the endpoint's own last report.
  customerServed @11 :List(CustomerServed);
  arrived @12 :PhaseWork;
  # Sum over the requests that were queued since the start of the incarnation.
  arrivedPrefillHeavy @13 :PhaseWork;
  # The same for those that need more time for prefill than for decode.
}

struct PhaseWork {
  promptTokens @0 :Int64;
  outputTokens @1 :Int64;
  # Expected when the request was queued.
}

struct CustomerServed {
  customer @0 :Text;
  weightedTokens @1 :Int64;
  # From an agent: since the start of its incarnation. From an entry: sum over the other endpoints of the same model.
}

struct Request {
  id @0 :Text;
  customer @1 :Text;
  method @2 :Text;
  path @3 :Text;
  contentType @4 :Text;
  body @5 :Data;
  model @6 :Text;
  service @7 :Text;
  promptTokens @8 :Int64;
  maxOutputTokens @9 :Int64;
  remainingWaitMs @10 :Int64;
  # Remaining part of the customer's longest wait when the entry sent the request.
  agentIncarnation @11 :Text;
  configurationVersion @12 :Int64;
  mayRepeat @13 :Bool;
  idempotencyKey @14 :Text;
  claimOffset @15 :Int64;
  # Offset of the winning claim; only meaningful if mayRepeat is false.
  claimPartition @16 :UInt32;
  cacheBlockHashes @17 :List(UInt64);
  attempt @18 :UInt32;
}

enum OutcomeKind {
  answered @0;
  notRun @1;
  unknown @2;
}

struct Outcome {
  kind @0 :OutcomeKind;
  status @1 :UInt16;
  # HTTP status of the endpoint's answer.
  reason @2 :Text;
  # Machine-readable reason of a refusal.
  retryAfterMs @3 :Int64;
  # -1 if a retry cannot succeed.
  configurationVersion @4 :Int64;
  promptTokens @5 :Int64;
  outputTokens @6 :Int64;
  answerBytes @7 :Int64;
  # Total number of bytes sent to the sink.
  queuedMs @8 :Int64;
}

enum CancelWord {
  neverStarted @0;
  # The request has not started and never will.
  started @1;
  finished @2;
}

enum OrderKind {
  drain @0;
  withdraw @1;
  loadModel @2;
  unloadModel @3;
  loadAdapter @4;
  unloadAdapter @5;
  changeRole @6;
}

struct Order {
  id @0 :Text;
  kind @1 :OrderKind;
  argument @2 :Text;
  epoch @3 :Int64;
  scope @4 :Text;
  agentIncarnation @5 :Text;
  lifetimeMs @6 :Int64;
}

struct OrderVerdict {
  accepted @0 :Bool;
  reason @1 :Text;
  highestEpoch @2 :Int64;
}

interface AnswerSink {
  begin @0 (status :UInt16, contentType :Text) -> ();
  chunk @1 (position :Int64, data :Data) -> stream;
  # position is the number of answer bytes before this chunk.
}

interface Agent {
  exchange @0 (peer :Peer, records :List(StreamRecord), served :List(CustomerServed)) -> (peer :Peer, records :List(StreamRecord), load :Load);
  submit @1 (request :Request, sink :AnswerSink) -> (outcome :Outcome);
  cancel @2 (requestId :Text, agentIncarnation :Text) -> (word :CancelWord);
  order @3 (order :Order) -> (verdict :OrderVerdict);
}

struct StoreRecord {
  offset @0 :Int64;
  key @1 :Text;
  present @2 :Bool;
  # False if the key was dropped.
  value @3 :Data;
  era @4 :Int64;
  # Era of the store in which the record has its offset.
}

struct KnownConfiguration {
  # Configuration that the caller has. A higher version is newer, and of the same version the later record of the store.
  version @0 :Int64;
  era @1 :Int64;
  offset @2 :Int64;
}

interface Gateway {
  newestRecords @0 (endpointsFrom :Int64, endpointsFromEra :Int64, withoutConfiguration :Bool, known :KnownConfiguration)
      -> (configuration :StoreRecord, endpoints :List(StoreRecord));
  # The configuration as this gateway has it, and the newest record of each endpoint at endpointsFrom of that era or later. The configuration is left out
  # if it is not wanted or not newer than the known one; a gateway of an earlier version always sends it.
}

struct PeerAddress {
  address @0 :Text;
  region @1 :Text;
}

struct ReadingNotice {
  endpoint @0 :UInt64;
  # Hash of the endpoint's id.
  startedAt @1 :Int64;
  # Start of its incarnation, Unix time in milliseconds.
  readingMs @2 :Float32;
  # Expected engine time of the prefill.
  ageMs @3 :UInt32;
  # Time from the sending of the prompt to the sending of this notice.
  prefixes @4 :List(UInt64);
  # Hash of the prompt up to the end of each part.
  tokens @5 :List(UInt32);
  # Tokens of each part.
}

struct LimitNotice {
  # Request limit of an endpoint that the sender knows. Rates are in thousandths of a request per second.
  endpoint @0 :UInt64;
  # Hash of the endpoint's id.
  startedAt @1 :Int64;
  # Start of its incarnation, Unix time in milliseconds.
  limit @2 :UInt32;
  ageMs @3 :UInt32;
  # Time since an answer to the sender last named the limit.
  unused @4 :UInt32;
  # Part that the sender does not use at present.
}

struct SuspectNotice {
  # What may crash each endpoint that begins to run it, as far as the sender knows.
  suspect @0 :UInt64;
  # With the highest bit: hash of a request; else the id of a part of prompts.
  state @1 :SuspectState;
  crashes @2 :List(UInt64);
  # Hashes of the ids and starts of the endpoints that crashed.
  probes @3 :UInt16;
  # Test calls since it was blocked.
  sinceProbeMs @4 :UInt32;
  # Time since it was blocked or last tested.
}

enum SuspectState {
  suspect @0;
  blocked @1;
  cleared @2;
}

struct StreamNotice {
  # Origin of the first event of streams. Without streams: the version is registered.
  service @0 :Text;
  version @1 :Text;
  # Software version of the endpoint; empty if nothing may be joined to the streams.
  roots @2 :List(Text);
  # Ids of the requests that brought the first events.
}

struct UsageNotice {
  # What one process has counted in one window. Counts are cumulative, and the higher count of an organisation is the newer one.
  process @0 :Text;
  # Id of the process with its start.
  window @1 :Int64;
  sequence @2 :UInt64;
  closedTotal @3 :Int64;
  # Sum of all counts if the process counts nothing more in the window; otherwise -1.
  organisations @4 :List(UInt64);
  # Hashes of the names of organisations.
  counts @5 :List(UInt32);
}

struct PeerDatagram {
  # One datagram between gateways. It is not answered, and a lost one is not sent again.
  region @0 :Text;
  peers @1 :List(PeerAddress);
  # Some peers of the sender.
  readings @2 :List(ReadingNotice);
  processCount @3 :UInt32;
  # Gateways that the sender knows, itself included; zero if the datagram is no heartbeat.
  limitNotices @4 :List(LimitNotice);
  # In a heartbeat: one for each request limit that the sender knows, also if it uses all of its part.
  suspectNotices @5 :List(SuspectNotice);
  streamNotices @6 :List(StreamNotice);
  streamQueries @7 :List(Text);
  # Ids of requests that brought the first events of streams whose origins the sender does not know. Gateways that know one send it a notice.
  unixMs @8 :Int64;
  # In a heartbeat: the sender's time of day in milliseconds; zero if it is not told.
  usageNotices @9 :List(UsageNotice);
  lastWrittenWindow @10 :Int64;
  # In a heartbeat: newest usage window whose report is written down; zero if none is known.
}
