@0xc7d1e5a93b604f28;

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Load {
  inUse @0 :UInt32;
  waiting @1 :UInt32;
  accepting @2 :Bool;
}

struct Request {
  number @0 :UInt64;
  method @1 :Text;
  path @2 :Text;
  headers @3 :List(Header);
  body @4 :Data;
  length @5 :UInt64;
  remaining @6 :Float64;
  repeatable @7 :Bool;
}

struct RequestBody {
  number @0 :UInt64;
  offset @1 :UInt64;
  body @2 :Data;
}

struct Response {
  number @0 :UInt64;
  status @1 :UInt32;
  headers @2 :List(Header);
  body @3 :Data;
  last @4 :Bool;
  load @5 :Load;
}

struct ResponseBody {
  number @0 :UInt64;
  offset @1 :UInt64;
  body @2 :Data;
  last @3 :Bool;
  intact @4 :Bool;
}

struct Credit {
  number @0 :UInt64;
  offset @1 :UInt64;
}

struct RequestRefused {
  number @0 :UInt64;
  reason @1 :Text;
  retryAfter @2 :Float64;
  load @3 :Load;
}

struct RequestLost {
  number @0 :UInt64;
  reason @1 :Text;
  load @2 :Load;
}

struct CancelRequests {
  numbers @0 :List(UInt64);
}

struct ResolveRequests {
  numbers @0 :List(UInt64);
}

struct RequestsResolved {
  running @0 :List(UInt64);
  fenced @1 :List(UInt64);
  lost @2 :List(UInt64);
}

struct TicketedRequest {
  number @0 :UInt64;
  ticket @1 :Text;
  requestId @2 :Text;
  service @3 :Text;
  team @4 :Text;
  method @5 :Text;
  path @6 :Text;
  headers @7 :List(Header);
  body @8 :Data;
  remaining @9 :Float64;
}

struct TicketedAnswer {
  number @0 :UInt64;
  status @1 :UInt32;
  headers @2 :List(Header);
  body @3 :Data;
  outcome @4 :Text;
  retryAfter @5 :Float64;
}

struct LoadReport {
  load @0 :Load;
}
