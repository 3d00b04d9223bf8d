@0xcd1a1221dc1550b4;

struct DomainsOutOfService {
  domains @0 :List(Text);
}
