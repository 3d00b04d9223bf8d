@0x9e2f7a6b1c3d4e5f;

struct TaskKey {
  ticket @0 :Text;
  task @1 :UInt32;
  lease @2 :UInt64;
}

struct Start {
  ticket @0 :Text;
  task @1 :UInt32;
  lease @2 :UInt64;
  kind @3 :Text;
  team @4 :Text;
  cores @5 :Float64;
  memory @6 :Float64;
  accelerators @7 :UInt32;
  runTime @8 :Float64;
  agreement @9 :Text;
  agreementVersion @10 :UInt64;
  payload @11 :Data;
}

struct StartBatch {
  number @0 :UInt64;
  window @1 :UInt64;
  position @2 :Int64;
  starts @3 :List(Start);
}

struct Room {
  cores @0 :Float64;
  memory @1 :Float64;
  accelerators @2 :Int32;
  running @3 :UInt32;
}

struct Refusal {
  key @0 :TaskKey;
  reason @1 :Text;
}

struct Ending {
  key @0 :TaskKey;
  outcome @1 :Text;
  reason @2 :Text;
  answer @3 :Data;
  cores @4 :Float64;
  memory @5 :Float64;
  runTime @6 :Float64;
}

struct OutcomeBatch {
  number @0 :UInt64;
  processed @1 :UInt64;
  room @2 :Room;
  refusals @3 :List(Refusal);
  endings @4 :List(Ending);
}

struct StopBatch {
  keys @0 :List(TaskKey);
}

struct CancelBatch {
  tickets @0 :List(Text);
}

struct Resolve {
  incarnation @0 :Text;
  keys @1 :List(TaskKey);
}

struct Resolution {
  running @0 :List(TaskKey);
  fenced @1 :List(TaskKey);
}

struct Heartbeat {
  window @0 :UInt64;
  processed @1 :UInt64;
  room @2 :Room;
  draining @3 :Bool;
  position @4 :Int64;
}

struct HeartbeatReply {
  window @0 :UInt64;
  received @1 :UInt64;
  position @2 :Int64;
  age @3 :Float64;
  phase @4 :Float64;
}

struct Offer {
  cores @0 :Float64;
  memory @1 :Float64;
  accelerators @2 :UInt32;
  hold @3 :Float64;
}
