@0xd1c7a95be20f4836;

struct LogRecord {
  offset @0 :Int64;
  body @1 :Data;
}

struct ConfigurationUpdate {
  after @0 :Int64;
  position @1 :Int64;
  records @2 :List(LogRecord);
}

struct ConfigurationSnapshot {
  position @0 :Int64;
  state @1 :Data;
}

struct ConfigurationRequest {
  position @0 :Int64;
}

struct ConfigurationApplied {
  position @0 :Int64;
}

struct HeldDomain {
  changeId @0 :Text;
  failureDomain @1 :Text;
}

struct HoldUpdate {
  held @0 :List(HeldDomain);
  released @1 :List(Text);
}

struct LogStatusRequest {
  number @0 :UInt64;
  position @1 :Int64;
}

struct LogStatusReply {
  number @0 :UInt64;
  position @1 :Int64;
  logAge @2 :Float64;
  failing @3 :Bool;
  ready @4 :Bool;
  held @5 :List(HeldDomain);
}

struct KnownEntries {
  names @0 :List(Text);
  leaving @1 :Bool;
}

struct OpenWorkRequest {
  number @0 :UInt64;
  agreement @1 :Text;
  version @2 :UInt64;
}

struct OpenWorkReply {
  number @0 :UInt64;
  position @1 :Int64;
  work @2 :UInt64;
}

struct ConfirmationRequest {
  number @0 :UInt64;
  failureDomain @1 :Text;
  position @2 :Int64;
}

struct ConfirmationReply {
  number @0 :UInt64;
  confirmed @1 :List(Text);
  missing @2 :List(Text);
}
