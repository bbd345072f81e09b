# Messages between the VMs of a fleet.
@0xd8a4a6d5cf2b91e7;

enum MemberState {
  alive @0;
  suspect @1;
  leaving @2;
  dead @3;
  starting @4;
}

enum ServerHealth {
  healthy @0;
  sick @1;
  cold @2;
  draining @3;
  recovering @4;
}

# One VM as seen by the sender. Updates are ordered by bootTime, then bootId,
# incarnation and state.
struct MemberUpdate {
  vm @0 :Text;
  bootId @1 :UInt64;
  bootTime @2 :UInt64;
  incarnation @3 :UInt32;
  state @4 :MemberState;
  region @5 :Text;
  zone @6 :Text;
  callerAddress @7 :Text;
  peerAddress @8 :Text;
  continuedBy @9 :UInt64;
}

struct DocumentVersion {
  name @0 :Text;
  version @1 :UInt64;
  digest @2 :Data;
}

# A judge's finding about one backend server; times are Unix milliseconds.
struct Verdict {
  service @0 :Text;
  server @1 :Text;
  health @2 :ServerHealth;
  score @3 :Float32;
  judge @4 :Text;
  issuedAt @5 :UInt64;
  validUntil @6 :UInt64;
}

# One VM's counts for one backend server since its last report.
# In a report, an empty service repeats that of the entry before.
struct EvidenceEntry {
  service @0 :Text;
  server @1 :Text;
  ok @2 :UInt32;
  errors @3 :UInt32;
  timeouts @4 :UInt32;
  cut @5 :UInt32;
  slow @6 :UInt32;
  latencyRatio @7 :Float32;
}

struct Piggyback {
  versions @0 :List(DocumentVersion);
  updates @1 :List(MemberUpdate);
  verdicts @2 :List(Verdict);
  membersDigest @3 :Data;
}

struct Ping {
  sequence @0 :UInt64;
  piggyback @1 :Piggyback;
}

struct PingRequest {
  sequence @0 :UInt64;
  target @1 :Text;
}

struct Ack {
  sequence @0 :UInt64;
  target @1 :Text;
  piggyback @2 :Piggyback;
}

struct Evidence {
  entries @0 :List(EvidenceEntry);
  windowEnd @1 :UInt64;
}

struct FetchDocument {
  name @0 :Text;
  haveVersion @1 :UInt64;
  haveDigest @2 :Data;
}

# An empty baseDigest marks a whole value; otherwise content is a delta on the value
# with that digest.
struct Document {
  name @0 :Text;
  version @1 :UInt64;
  digest @2 :Data;
  baseDigest @3 :Data;
  content @4 :Data;
}

struct SyncMembers {
  updates @0 :List(MemberUpdate);
}

struct LedgerEntry {
  key @0 :Text;
  state @1 :Text;
  status @2 :UInt16;
  headers @3 :Text;
  body @4 :Data;
  rememberUntil @5 :UInt64;
  requestDigest @6 :Data;
}

# A key that is not in entries did not run when its accept-until is at most refusedUntil,
# and may have run when it is at most forgottenUntil.
struct Handover {
  bootId @0 :UInt64;
  entries @1 :List(LedgerEntry);
  successorBootId @2 :UInt64;
  refusedUntil @3 :UInt64;
  forgottenUntil @4 :UInt64;
  # Number of entries in all messages for this boot; one message holds a part of them.
  total @5 :UInt32;
}

struct HandoverReply {
  accepted @0 :Bool;
}

# One VM of the fleet as the sender knows it; ageMs is the age of its last heartbeat.
struct VmPresence {
  vm @0 :Text;
  zone @1 :Text;
  peerAddress @2 :Text;
  bootId @3 :UInt64;
  state @4 :MemberState;
  ageMs @5 :UInt32;
  # Requests of callers per second, and the share of a core that the VM may use.
  rate @6 :Float32;
  cores @7 :Float32;
  # Interval at which the sender sends updates on the VM, 0 for every heartbeat.
  intervalMs @8 :UInt16;
  # Whether the VM refuses requests with keys, because its state is not proven.
  fenced @9 :Bool;
  # Requests per second that the VM carries if its link limits them; 0: see cores.
  capacity @10 :Float32;
}

# A heartbeat with the sender's view of other VMs, its configuration version and store
# revision. confirmedAgeMs is the time since the store last confirmed that revision, plus
# one; older builds send 0. knownVms is the number of VMs that a VM knows that wants a
# reply: one that knows enough gets a short one.
struct Presence {
  own @0 :VmPresence;
  others @1 :List(VmPresence);
  configVersion @2 :UInt64;
  revision @3 :UInt64;
  storeReachable @4 :Bool;
  replyWanted @5 :Bool;
  storeEra @6 :UInt64;
  confirmedAgeMs @7 :UInt32;
  knownVms @8 :UInt16;
}

enum AttemptPhase {
  pending @0;
  succeeded @1;
  failed @2;
  refused @3;
  abandoned @4;
  error @5;
}

# One attempt at a backend server; ages are relative to the time of sending. rateLimit is
# what the server's response named, in requests per second: infinite without a limit, 0
# without a response.
struct AttemptReport {
  server @0 :Text;
  sequence @1 :UInt32;
  phase @2 :AttemptPhase;
  startAgeMs @3 :UInt32;
  durationMs @4 :UInt32;
  route @5 :Text;
  rateLimit @6 :Float32;
  limitAgeMs @7 :UInt32;
}

# Older builds send attempts, newer ones the other fields, which
# lavendermast.compactreports describes.
struct AttemptReports {
  attempts @0 :List(AttemptReport);
  servers @1 :Text;
  routes @2 :Text;
  entries @3 :Data;
  limits @4 :Data;
}

# A region's estimate of the state of one of its servers. rateLimit is as in
# AttemptReport; spareRate is the part of it that the region does not use.
struct ServerSummary {
  server @0 :Text;
  sicknessPermille @1 :UInt16;
  pending @2 :UInt16;
  rateLimit @3 :Float32;
  limitAgeMs @4 :UInt32;
  spareRate @5 :Float32;
}

# Recent requests of one service in a region, and how many of them were lost.
struct ServiceLosses {
  service @0 :Text;
  requests @1 :UInt32;
  lost @2 :UInt32;
}

# The receiver passes it on to its region when relayWanted is set. Older builds send
# summaries, newer ones servers, entries and limits, which lavendermast.compactreports
# describes.
struct ServerSummaries {
  relayWanted @0 :Bool;
  summaries @1 :List(ServerSummary);
  region @2 :Text;
  losses @3 :List(ServiceLosses);
  servers @4 :Text;
  entries @5 :Data;
  limits @6 :Data;
}

# A request that was in flight when a run of a server crashed, or, if cleared is set, that
# a server answered whole. The fingerprint is a digest of 16 bytes.
struct CrashSuspect {
  server @0 :Text;
  startedUnixMs @1 :UInt64;
  fingerprint @2 :Data;
  cleared @3 :Bool;
}

# The receiver passes it on to its region when relayWanted is set, and answers with the
# requests that it holds when heldWanted is set.
struct CrashReports {
  suspects @0 :List(CrashSuspect);
  relayWanted @1 :Bool;
  heldWanted @2 :Bool;
}

# One document of the store as it was written.
struct StoredChange {
  key @0 :Text;
  revision @1 :UInt64;
  deleted @2 :Bool;
  content @3 :Data;
}

# Changes that lead from one revision to another. If whole is set, they are the complete
# state, and documents that are not in it do not exist. Revisions of different eras of
# the store do not compare; era 0 is unknown. If compressed is set, it holds the fields
# above: a packed StoredChanges compressed with zlib.
struct StoredChanges {
  fromRevision @0 :UInt64;
  toRevision @1 :UInt64;
  whole @2 :Bool;
  changes @3 :List(StoredChange);
  era @4 :UInt64;
  compressed @5 :Data;
}

# Older builds do not accept compressed changes.
struct FetchChanges {
  revision @0 :UInt64;
  era @1 :UInt64;
  acceptsCompressed @2 :Bool;
}

# Asks a hub of the zone how old the state of the store is that it knows. sentMs is the
# sender's own clock and comes back in the reply, which proves that the reply is younger.
struct StateQuery {
  sentMs @0 :UInt64;
}

# ageMs is the time since the hub's VM, or one that it heard of, sent the call that
# confirmed the revision; 2^32 - 1 if none did.
struct StateReply {
  sentMs @0 :UInt64;
  era @1 :UInt64;
  revision @2 :UInt64;
  ageMs @3 :UInt32;
}

# Use of one account, named by a hash, at a VM or in a region: requests that were admitted
# since counting began, and requests per second that arrive, refused ones included. level is
# what the sender believes the account may still send at once, NaN if it does not know.
struct AccountUse {
  account @0 :UInt64;
  admitted @1 :UInt64;
  demand @2 :Float32;
  level @3 :Float32;
}

# countingMs is the time since the sender began to count. The receiver passes it on to its
# region when relayWanted is set. region names the sender's region if the uses are the
# sums of that region, and is empty if they are those of the sender alone.
struct AccountUses {
  uses @0 :List(AccountUse);
  countingMs @1 :UInt32;
  region @2 :Text;
  relayWanted @3 :Bool;
}

struct Message {
  sender @0 :Text;
  bootId @1 :UInt64;
  sentAt @2 :UInt64;
  union {
    ping @3 :Ping;
    pingRequest @4 :PingRequest;
    ack @5 :Ack;
    updates @6 :Piggyback;
    evidence @7 :Evidence;
    fetchDocument @8 :FetchDocument;
    document @9 :Document;
    syncMembers @10 :SyncMembers;
    handover @11 :Handover;
    handoverReply @12 :HandoverReply;
    presence @13 :Presence;
    attemptReports @14 :AttemptReports;
    storedChanges @15 :StoredChanges;
    fetchChanges @16 :FetchChanges;
    serverSummaries @17 :ServerSummaries;
    crashReports @18 :CrashReports;
    stateQuery @19 :StateQuery;
    stateReply @20 :StateReply;
    accountUses @21 :AccountUses;
  }
}
