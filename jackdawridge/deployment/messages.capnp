@0xcd1a1221dc1550b4;

struct DomainsOut {
  domains @0 :List(Text);
}
