@0xd1a9c0b7e2f34856;

struct JobCall {
  number @0 :UInt64;
  method @1 :Text;
  ticket @2 :Text;
  wait @3 :Float64;
  body @4 :Data;
}

struct JobReply {
  number @0 :UInt64;
  status @1 :UInt32;
  outcome @2 :Text;
  retryAfter @3 :Float64;
  body @4 :Data;
}
