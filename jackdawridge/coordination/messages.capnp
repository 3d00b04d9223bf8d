@0xa7c2e91b5d3f6840;

struct TaskGroup {
  kind @0 :Text;
  cores @1 :Float64;
  memory @2 :Float64;
  accelerators @3 :UInt32;
  runTime @4 :Float64;
  tasks @5 :List(UInt32);
}

struct WaitingJob {
  ticket @0 :Text;
  team @1 :Text;
  service @2 :Text;
  reruns @3 :Bool;
  stretch @4 :Float64;
  allowance @5 :Float64;
  priority @6 :Int32;
  waited @7 :Float64;
  hasBegun @8 :Bool;
  avoided @9 :Text;
  groups @10 :List(TaskGroup);
  patience @11 :Float64;
}

struct RunningTask {
  job @0 :WaitingJob;
  side @1 :Text;
  cores @2 :Float64;
  memory @3 :Float64;
  runTime @4 :Float64;
  age @5 :Float64;
}

struct Delegation {
  term @0 :UInt64;
  sides @1 :List(Text);
  jobs @2 :List(WaitingJob);
  running @3 :List(RunningTask);
}

struct EndedTask {
  ticket @0 :Text;
  task @1 :UInt32;
  outcome @2 :Text;
  reason @3 :Text;
  cores @4 :Float64;
  memory @5 :Float64;
  runTime @6 :Float64;
}

struct DelegationUpdate {
  term @0 :UInt64;
  number @1 :UInt64;
  ended @2 :List(EndedTask);
  jobs @3 :List(WaitingJob);
  dropped @4 :List(Text);
}

struct Grant {
  ticket @0 :Text;
  task @1 :UInt32;
  side @2 :Text;
  cores @3 :Float64;
  memory @4 :Float64;
  runTime @5 :Float64;
  reason @6 :Text;
}

struct ShedJob {
  ticket @0 :Text;
  reason @1 :Text;
}

struct Decisions {
  term @0 :UInt64;
  number @1 :UInt64;
  grants @2 :List(Grant);
  givenUp @3 :List(ShedJob);
}

struct DelegationEnd {
  term @0 :UInt64;
  reason @1 :Text;
  retryAfter @2 :Float64;
}
