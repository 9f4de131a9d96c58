# Messages between instances. The structs mirror fescuekeel/messages/wire.py.
@0xb7a1d04c52f6e913;

struct AdapterRef { name @0 :Text; version @1 :Text; }
struct News {
  kind @0 :Text;
  subject @1 :Text;
  incarnation @2 :UInt64;
  address @3 :Text;
  dataCentre @4 :Text;
}
struct Hello {
  version @0 :UInt16;
  instance @1 :Text;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  address @4 :Text;
  channel @5 :UInt32;
}
struct HelloAnswer {
  instance @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  address @3 :Text;
}
struct Ping { news @0 :List(News); }
struct PingAnswer { news @0 :List(News); }
struct ProbeAsk { target @0 :Text; address @1 :Text; }
struct ProbeAnswer { target @0 :Text; alive @1 :Bool; }
struct TreeAsk { revision @0 :UInt64; name @1 :Text; }
struct TreePart { revision @0 :UInt64; name @1 :Text; content @2 :Data; }
struct Submit {
  requestId @0 :Text;
  attempt @1 :UInt32;
  endpoint @2 :Text;
  shop @3 :Text;
  service @4 :Text;
  adapter @5 :AdapterRef;
  urgency @6 :UInt8;
  remainingMs @7 :UInt32;
  repeatable @8 :Bool;
  stream @9 :Bool;
  path @10 :Text;
  body @11 :Data;
  maxTokens @12 :UInt32;
  resume @13 :Bool;
  resumePosition @14 :UInt32;
  method @15 :Text;
  contentType @16 :Text;
  idempotencyKey @17 :Text;
  moved @18 :Bool;
}
struct SubmitAnswer {
  accepted @0 :Bool;
  kind @1 :Text;
  detail @2 :Text;
  retryAfterMs @3 :UInt32;
  endpoint @4 :Text;
}
struct StartAsk {
  requestId @0 :Text;
  attempt @1 :UInt32;
  stallMs @2 :UInt32;
  queueMs @3 :UInt32;
}
struct StartAnswer { granted @0 :Bool; }
struct WorkStarted {
  requestId @0 :Text;
  attempt @1 :UInt32;
  stallMs @2 :UInt32;
  queueMs @3 :UInt32;
}
struct WorkChunk {
  requestId @0 :Text;
  attempt @1 :UInt32;
  position @2 :UInt32;
  data @3 :Data;
  tokens @4 :UInt32;
}
struct WorkEnd {
  requestId @0 :Text;
  attempt @1 :UInt32;
  kind @2 :Text;
  ran @3 :Text;
  status @4 :UInt16;
  contentType @5 :Text;
  detail @6 :Text;
  retryAfterMs @7 :UInt32;
  stallMs @8 :UInt32;
  queueMs @9 :UInt32;
}
struct CancelWork { requestId @0 :Text; attempt @1 :UInt32; }
struct TurnAsk {
  endpoint @0 :Text;
  adapter @1 :AdapterRef;
  value @2 :Float64;
  waiting @3 :UInt32;
}
struct TurnAnswer {
  endpoint @0 :Text;
  adapter @1 :AdapterRef;
  granted @2 :Bool;
  retryAfterMs @3 :UInt32;
}
struct TurnDone { endpoint @0 :Text; adapter @1 :AdapterRef; tookMs @2 :UInt32; }
struct KeyClaim {
  key @0 :Text;
  requestId @1 :Text;
  digest @2 :Text;
  lifetimeMs @3 :UInt32;
  homes @4 :List(Text);
}
struct KeyAnswer { granted @0 :Bool; kind @1 :Text; }
struct KeySettle { key @0 :Text; requestId @1 :Text; ran @2 :Text; }
struct KeyRecord {
  key @0 :Text;
  requestId @1 :Text;
  digest @2 :Text;
  used @3 :Bool;
  remainingMs @4 :UInt32;
  lifetimeMs @5 :UInt32;
}
struct KeyPull { dataCentre @0 :Text; after @1 :Text; }
struct KeyPeer {
  id @0 :Text;
  dataCentre @1 :Text;
  incarnation @2 :UInt64;
  left @3 :Bool;
  unseenMs @4 :UInt32;
}
struct KeyCopy {
  records @0 :List(KeyRecord);
  more @1 :Bool;
  leaving @2 :Bool;
  peers @3 :List(KeyPeer);
}
struct RunningWork {
  requestId @0 :Text;
  adapter @1 :AdapterRef;
  remainingMs @2 :UInt32;
}
struct RunningAsk { endpoint @0 :Text; }
struct RunningAnswer {
  endpoint @0 :Text;
  fence @1 :UInt64;
  work @2 :List(RunningWork);
  given @3 :Bool;
}
struct HandoverOffer {
  endpoint @0 :Text;
  fence @1 :UInt64;
  work @2 :List(RunningWork);
}
struct HandoverAnswer { endpoint @0 :Text; accepted @1 :Bool; }
struct CopyAsk { endpoint @0 :Text; adapter @1 :AdapterRef; }
struct CopyAnswer {
  endpoint @0 :Text;
  owned @1 :Bool;
  held @2 :Bool;
  score @3 :Float64;
  queued @4 :UInt32;
}

struct CatalogItem {
  key @0 :Text;
  revision @1 :UInt64;
  value @2 :Data;
  gone @3 :Bool;
  packed @4 :Bool;
  era @5 :UInt64;
}
struct CatalogNews {
  revision @0 :UInt64;
  watching @1 :Bool;
  ageMs @2 :UInt32;
  answeredMs @3 :UInt32;
  era @4 :UInt64;
  keeps @5 :Bool;
}
struct CatalogAsk { since @0 :UInt64; era @1 :UInt64; }
struct CatalogPart {
  revision @0 :UInt64;
  items @1 :List(CatalogItem);
  whole @2 :Bool;
  lapsedUntil @3 :UInt64;
  ageMs @4 :UInt32;
  era @5 :UInt64;
  firstRevision @6 :UInt64;
  lapsedEra @7 :UInt64;
}
struct HeldWeights { model @0 :Text; adapter @1 :Text; version @2 :UInt64; }
struct PlacementState {
  endpoint @0 :Text;
  term @1 :UInt64;
  released @2 :Bool;
  quietMs @3 :UInt32;
  held @4 :List(HeldWeights);
  running @5 :UInt32;
  pendingTokens @6 :UInt32;
  number @7 :UInt32;
  basedOn @8 :UInt32;
  dropped @9 :List(HeldWeights);
}
struct PlacementNews { states @0 :List(PlacementState); }
struct WeightUse { model @0 :Text; adapter @1 :Text; running @2 :UInt32; begun @3 :UInt32; }
struct EndpointUse {
  endpoint @0 :Text;
  running @1 :UInt32;
  uses @2 :List(WeightUse);
  tokensPerS @3 :UInt32;
  pausePercent @4 :UInt32;
}
struct UseNews { endpoints @0 :List(EndpointUse); }
struct LoadAsk {
  endpoint @0 :Text;
  model @1 :Text;
  adapter @2 :Text;
  version @3 :UInt64;
  priority @4 :UInt8;
  spread @5 :Bool;
  onTimeMs @6 :UInt32;
  patienceMs @7 :UInt32;
  patient @8 :Bool;
  tokens @9 :UInt32;
}
struct LoadAnswer {
  loaded @0 :Bool;
  detail @1 :Text;
  version @2 :UInt64;
  holder @3 :Text;
}
struct AdmitAsk {
  endpoint @0 :Text;
  tokens @1 :UInt32;
  priority @2 :UInt8;
  onTimeMs @3 :UInt32;
  patienceMs @4 :UInt32;
  model @5 :Text;
  adapter @6 :Text;
  version @7 :UInt64;
  patient @8 :Bool;
}
struct AdmitAnswer {
  granted @0 :Bool;
  pendingTokens @1 :UInt32;
  waitMs @2 :UInt32;
  reason @3 :Text;
  running @4 :UInt32;
  holder @5 :Text;
  version @6 :UInt64;
}
struct AllowanceAsk {
  account @0 :Text;
  needed @1 :Float64;
  deputy @2 :Bool;
  ratePerS @3 :Float64;
}
struct AllowanceAnswer { units @0 :Float64; waitMs @1 :UInt32; }
struct GossipFact {
  topic @0 :Text;
  key @1 :Text;
  rank @2 :UInt32;
  payload @3 :Data;
  ageMs @4 :UInt32;
}
struct GossipFacts { facts @0 :List(GossipFact); }
struct GossipDigest { digest @0 :UInt64; count @1 :UInt32; isReply @2 :Bool; }
struct RelayAsk { endpoint @0 :Text; }
struct RelayAnswer { outcome @0 :Text; reachesOthers @1 :Bool; }
struct PermitAsk {
  endpoint @0 :Text;
  number @1 :UInt32;
  priority @2 :UInt8;
  patienceMs @3 :UInt32;
  lastsMs @4 :UInt32;
  running @5 :UInt32;
  slots @6 :UInt32;
  maxRejectionsPerS @7 :Float64;
  isNew @8 :Bool;
}
struct PermitAnswer { granted @0 :Bool; waitMs @1 :UInt32; }
struct PermitEnded { endpoint @0 :Text; number @1 :UInt32; outcome @2 :Text; }
struct LivenessAsk { endpoint @0 :Text; bootId @1 :Text; }
struct LivenessAnswer { liveness @0 :Text; reachesOthers @1 :Bool; }
struct StreamOriginRecord {
  stream @0 :Text;
  service @1 :Text;
  software @2 :Text;
  lastsMs @3 :UInt32;
}
struct StreamOriginNews { records @0 :List(StreamOriginRecord); }
struct StreamOriginAsk {
  stream @0 :Text;
  service @1 :Text;
  horizonMs @2 :UInt32;
  withHistory @3 :Bool;
  watchedMs @4 :UInt32;
}
struct SeenVersion { service @0 :Text; software @1 :Text; goneMs @2 :UInt32; }
struct StreamOriginAnswer {
  known @0 :Bool;
  service @1 :Text;
  software @2 :Text;
  seen @3 :List(Text);
  watchedMs @4 :UInt32;
  catalogAgeMs @5 :UInt32;
  history @6 :List(SeenVersion);
}
struct Envelope {
  number @0 :UInt32;
  answers @1 :UInt32;
  body :union {
    hello @2 :Hello;
    helloAnswer @3 :HelloAnswer;
    ping @4 :Ping;
    pingAnswer @5 :PingAnswer;
    probeAsk @6 :ProbeAsk;
    probeAnswer @7 :ProbeAnswer;
    treeAsk @8 :TreeAsk;
    treePart @9 :TreePart;
    submit @10 :Submit;
    submitAnswer @11 :SubmitAnswer;
    workStarted @12 :WorkStarted;
    workChunk @13 :WorkChunk;
    workEnd @14 :WorkEnd;
    cancelWork @15 :CancelWork;
    turnAsk @16 :TurnAsk;
    turnAnswer @17 :TurnAnswer;
    turnDone @18 :TurnDone;
    keyClaim @19 :KeyClaim;
    keyAnswer @20 :KeyAnswer;
    keySettle @21 :KeySettle;
    keyCopy @22 :KeyCopy;
    runningAsk @23 :RunningAsk;
    runningAnswer @24 :RunningAnswer;
    handoverOffer @25 :HandoverOffer;
    handoverAnswer @26 :HandoverAnswer;
    startAsk @27 :StartAsk;
    startAnswer @28 :StartAnswer;
    keyPull @29 :KeyPull;
    copyAsk @30 :CopyAsk;
    copyAnswer @31 :CopyAnswer;
    catalogNews @32 :CatalogNews;
    catalogAsk @33 :CatalogAsk;
    catalogPart @34 :CatalogPart;
    placementNews @35 :PlacementNews;
    useNews @36 :UseNews;
    loadAsk @37 :LoadAsk;
    loadAnswer @38 :LoadAnswer;
    admitAsk @39 :AdmitAsk;
    admitAnswer @40 :AdmitAnswer;
    allowanceAsk @41 :AllowanceAsk;
    allowanceAnswer @42 :AllowanceAnswer;
    gossipFacts @43 :GossipFacts;
    gossipDigest @44 :GossipDigest;
    relayAsk @45 :RelayAsk;
    relayAnswer @46 :RelayAnswer;
    permitAsk @47 :PermitAsk;
    permitAnswer @48 :PermitAnswer;
    permitEnded @49 :PermitEnded;
    livenessAsk @50 :LivenessAsk;
    livenessAnswer @51 :LivenessAnswer;
    streamOriginNews @52 :StreamOriginNews;
    streamOriginAsk @53 :StreamOriginAsk;
    streamOriginAnswer @54 :StreamOriginAnswer;
  }
}
