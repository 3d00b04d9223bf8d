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
}
