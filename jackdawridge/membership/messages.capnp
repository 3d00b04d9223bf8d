@0xb3f1c4a2d5e60718;

struct Introduction {
  role @0 :Text;
  node @1 :Text;
  incarnation @2 :Text;
  failureDomain @3 :Text;
  address @4 :Text;
  service @5 :Text;
  cores @6 :Float64;
  memory @7 :Float64;
  accelerators @8 :Int64;
  slots @9 :Int64;
  generation @10 :Int64;
  version @11 :UInt32;
  leaving @12 :Bool;
  workerKind @13 :Text;
  capacity @14 :Float64;
}

struct Member {
  node @0 :Text;
  generation @1 :Int64;
  incarnation @2 :Text;
  version @3 :UInt32;
  state @4 :UInt32;
  leaving @5 :Bool;
  role @6 :Text;
  failureDomain @7 :Text;
  address @8 :Text;
  service @9 :Text;
  capacity @10 :Float64;
}

struct Gossip {
  members @0 :List(Member);
}

struct Probe {
  number @0 :UInt32;
  digest @1 :UInt64;
  members @2 :List(Member);
}

struct ProbeReply {
  number @0 :UInt32;
  digest @1 :UInt64;
  members @2 :List(Member);
}

struct ProbeRequest {
  number @0 :UInt32;
  node @1 :Text;
}

struct SyncRequest {
  digest @0 :UInt64;
}

struct TablePart {
  content @0 :Data;
  final @1 :Bool;
}
