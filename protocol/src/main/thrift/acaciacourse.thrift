/*
 * The inner protocol: between control replicas, between entries and control, and between
 * operators and control. Times are milliseconds unless a name says otherwise. Fields are
 * only added, never renumbered.
 */
namespace java org.acaciacourse.protocol.generated

/* ---- replicated log: on the wire and on disk ---- */

struct MemberRecord {
  1: i64 id,
  2: string vm,
  3: string address,
  4: bool voter,
}

struct LogRecord {
  1: i64 index,
  2: i64 term,
  3: i32 kind,
  4: binary payload,
}

struct HardStateRecord {
  1: i64 term,
  2: optional i64 votedFor,
}

struct SnapshotRecord {
  1: i64 index,
  2: i64 term,
  3: list<MemberRecord> members,
  4: binary state,
}

struct VoteRequestBody {
  1: i64 lastIndex,
  2: i64 lastTerm,
  3: bool preVote,
  4: bool leadershipTransfer,
}

struct VoteReplyBody {
  1: bool preVote,
  2: bool granted,
}

struct AppendRequestBody {
  1: i64 previousIndex,
  2: i64 previousTerm,
  3: list<LogRecord> entries,
  4: i64 commitIndex,
  5: i64 round,
}

struct AppendReplyBody {
  1: bool success,
  2: i64 matchIndex,
  3: i64 round,
}

struct SnapshotRequestBody {
  1: SnapshotRecord snapshot,
  2: i64 round,
}

struct TimeoutNowBody {
}

union ReplicaBody {
  1: VoteRequestBody voteRequest,
  2: VoteReplyBody voteReply,
  3: AppendRequestBody appendRequest,
  4: AppendReplyBody appendReply,
  5: SnapshotRequestBody snapshotRequest,
  6: TimeoutNowBody timeoutNow,
}

struct ReplicaEnvelope {
  1: i64 sender,
  2: i64 term,
  3: ReplicaBody body,
  /* The identity it is meant for: an address may have been taken over by another replica. */
  4: i64 receiver,
}

/* ---- the data folder ---- */

/* First record of a segment: what replay needs if the segments before it are gone. */
struct SegmentHeader {
  1: i64 replica,
  2: i64 sequence,
  /* The last entry before this segment; entries after it that came before are void. */
  3: i64 previousIndex,
  4: i64 previousTerm,
  5: HardStateRecord hardState,
}

/* One synced batch. An entry voids what the log holds from its index on. */
struct BatchRecord {
  1: optional HardStateRecord hardState,
  2: list<LogRecord> entries,
}

union StoreRecord {
  1: SegmentHeader header,
  2: BatchRecord batch,
  3: SnapshotRecord snapshot,
  4: i64 identity,
}

/* ---- commands of the replicated state machine ---- */

struct DeltaRecord {
  1: map<string, map<string, string>> changed,
  2: set<string> removed,
}

struct PutManifestCommand {
  1: i64 number,
  2: string digest,
  3: string baseDigest,
  4: DeltaRecord delta,
  5: string operatorName,
}

struct AcquireLeaseCommand {
  1: string lease,
  2: string holder,
  3: i64 durationMillis,
  /* Of the holder's VM; the holder if it is missing. */
  4: optional string vm,
  /* How long a VM that another one has followed may not return to the lease. */
  5: optional i64 returnMillis,
  /* Whether a new fencing number is at least the time of the proposal in seconds. */
  6: optional bool timedNumber,
}

struct ReleaseLeaseCommand {
  1: string lease,
  2: string holder,
  3: i64 fencingNumber,
}

struct ClaimCommand {
  1: string customer,
  2: string idempotencyKey,
  3: string contentHash,
  4: string owner,
}

struct CompleteClaimCommand {
  1: string customer,
  2: string idempotencyKey,
  3: string owner,
  4: i32 outcome,
  5: binary answer,
}

struct EndOwnerCommand {
  1: string owner,
}

struct ReportCrashCommand {
  1: i64 contentHash,
  2: i32 crashes,
}

/* The requests of each customer that endpoints began in a window. */
struct UsageWindowRecord {
  1: i64 window,
  2: map<string, i64> counts,
}

struct FreezeUsageCommand {
  1: UsageWindowRecord usage,
  2: i64 reportedThrough,
}

/* How many endpoints a pool had before the first order, by data centre. */
struct ProvisionRecord {
  1: string pool,
  2: map<string, i32> counts,
  /* The data centres in which the permanent endpoints are no longer needed. */
  3: set<string> replaced,
}

union CommandBody {
  1: PutManifestCommand putManifest,
  2: AcquireLeaseCommand acquireLease,
  3: ReleaseLeaseCommand releaseLease,
  4: ClaimCommand claim,
  5: CompleteClaimCommand completeClaim,
  6: EndOwnerCommand endOwner,
  7: ReportCrashCommand reportCrash,
  8: FreezeUsageCommand freezeUsage,
  9: ProvisionRecord recordProvision,
}

struct CommandRecord {
  1: i64 proposedAt,
  2: CommandBody body,
}

/* ---- state of the state machine, as a snapshot holds it ---- */

struct ManifestChangeRecord {
  1: i64 number,
  2: string digest,
  3: i64 baseNumber,
  4: string baseDigest,
  5: DeltaRecord delta,
}

struct LeaseRecord {
  1: string name,
  2: string holder,
  3: i64 fencingNumber,
  4: i64 expiresAt,
  /* Of the holder's VM; the holder if it is missing. */
  5: optional string vm,
}

struct FormerHolderRecord {
  1: string lease,
  2: string vm,
  3: i64 endedAt,
}

struct UsageStateRecord {
  1: i64 frozenThrough,
  2: i64 reportedThrough,
  3: list<UsageWindowRecord> unreported,
}

struct ClaimEntryRecord {
  1: string customer,
  2: string idempotencyKey,
  3: string contentHash,
  4: string owner,
  5: i32 outcome,
  6: i64 changedAt,
  7: optional binary answer,
}

struct CrashRecord {
  1: i64 contentHash,
  2: i32 crashes,
  3: i64 revision,
}

struct AuditRecord {
  1: i64 at,
  2: string operatorName,
  3: i64 number,
  4: string digest,
  5: i32 changedSections,
}

struct StateRecord {
  1: i64 appliedIndex,
  2: i64 time,
  3: i64 number,
  4: string digest,
  5: map<string, map<string, string>> sections,
  6: list<ManifestChangeRecord> history,
  7: list<AuditRecord> audit,
  8: i64 fencingNumber,
  9: list<LeaseRecord> leases,
  10: list<ClaimEntryRecord> claims,
  11: i64 crashRevision,
  12: list<CrashRecord> crashes,
  13: optional list<FormerHolderRecord> formerHolders,
  14: optional UsageStateRecord usage,
  15: optional list<ProvisionRecord> provisions,
}

/* ---- answers ---- */

struct TraceContext {
  1: string traceparent,
}

/* Result is the number of a code in docs/RESULT-CODES.md. */
struct Result {
  1: i32 code,
  2: string detail,
  /* Where the leader is, if the callee is not it and knows. */
  3: optional string leaderAddress,
  4: optional i64 retryAfterMillis,
}

struct ApplyRequest {
  1: string operatorKey,
  2: string operatorName,
  3: map<string, map<string, string>> sections,
  4: TraceContext trace,
}

struct ApplyReply {
  1: Result result,
  /* What is in force after the call. */
  2: i64 number,
  3: string digest,
}

/* Long poll of an entry: also its heartbeat and the confirmation of its number. */
/* What callers of one entry asked of a pool within a second. */
struct PoolDemandRecord {
  1: string pool,
  /* Of the requests sent to endpoints, those that are not cached there. */
  2: i64 prefillTokens,
  3: i64 outputTokens,
  4: i64 begun,
  /* For lack of capacity. */
  5: i64 refused,
  /* Answers that began after the target of their route. */
  6: i64 late,
  7: i64 largestWaitMillis,
  /* By requests in flight, beside the cached ones. */
  8: i64 heldTokens,
}

struct PollRequest {
  1: string vm,
  2: string owner,
  3: string dataCentre,
  4: i64 number,
  5: string digest,
  6: i64 crashRevision,
  7: i64 waitMillis,
  /* Results per policy epoch and class, for compare. */
  8: list<ClassReport> reports,
  /* Ask for a linearizable read before answering. */
  9: bool latest,
  10: bool leaving,
  /* Of the fleet that the entry works with, 0 for none. */
  11: i64 fleetRevision,
  /* Where the other entries send their load to, empty if they should not. */
  12: string loadAddress,
  /* Of the peers that the entry knows. */
  13: optional i64 peersRevision,
  /* The entry's time of day. */
  14: optional i64 wallMillis,
  /* The time up to which the counts of usage are complete. */
  15: optional i64 usageCompleteUntil,
  /* The counts of usage that have changed since the previous poll over this connection. */
  16: optional list<UsageWindowRecord> usage,
  /* What callers asked of each pool in the last second, if that has changed since the previous poll over this connection. */
  17: optional list<PoolDemandRecord> demand,
}

struct PollReply {
  1: Result result,
  2: i64 number,
  3: string digest,
  /* Exactly one of the two if the number is newer than the entry's. */
  4: optional DeltaRecord delta,
  5: optional map<string, map<string, string>> snapshot,
  6: string baseDigest,
  7: i64 crashRevision,
  8: list<ReportCrashCommand> crashes,
  9: list<EndpointNotice> notices,
  10: i32 entryCount,
  /* The whole fleet, if it differs from the entry's. */
  11: optional list<FleetRecord> fleet,
  12: i64 fleetRevision,
  /* The inner addresses of the control VMs that hold the log. */
  13: list<string> controls,
  /* Where the live entries, but for the asking one, take the load of others. */
  14: list<string> peers,
  /* The data centres of these, in the same order. */
  16: optional list<string> peerDataCentres,
  /* A hash of the peers, which are told only if it is another than the entry's. */
  17: optional i64 peersRevision,
  /* XXH3 over the whole document that a snapshot holds; cheaper to check than the digest. */
  15: optional i64 checksum,
  /* The time of day as the clocks of several VMs tell it. */
  18: optional i64 timeMillis,
  /* The latest window whose usage is fixed. */
  19: optional i64 usageFrozenThrough,
  /* How long before this poll was received the read of the platform's list began that the fleet is from, negative if after; missing if that is not known. */
  20: optional i64 fleetAgeMillis,
}

/* A datagram between entries: what the sender has under way at endpoints. */
struct LoadDigestRecord {
  1: i64 sequence,
  2: list<EndpointLoadRecord> loads,
  /* The shared parts of prompts that endpoints were sent lately. */
  3: optional list<PartUseRecord> uses,
  /* What it covers: 0 for the sender and those that report to it, 1 for a report, 2 for a view of all VMs. */
  4: optional i32 kind,
  /* Its place among the parts of one digest, and their number. */
  5: optional i32 part,
  6: optional i32 parts,
  /* How many VMs have their load in it. */
  7: optional i32 vms,
  /* The numbers of the reports in a view, by hashes of the addresses of their senders. */
  8: optional map<i32, i64> heard,
  /* What was seen of features of requests that may crash endpoints. */
  9: optional list<FeatureFactRecord> facts,
  /* The limits on their requests that endpoints have stated lately. */
  10: optional list<RateLimitRecord> limits,
  /* What entries tell and ask each other of streams; such a datagram tells no load. */
  11: optional StreamOriginsRecord origins,
  /* The recent work of customers: the largest figures, and the rest. */
  12: optional list<CustomerWorkRecord> customers,
  13: optional OtherCustomersRecord otherCustomers,
  /* The speeds of endpoints of which something new was observed. */
  14: optional list<SpeedRecord> speeds,
}

struct CustomerWorkRecord {
  /* A hash of the pool, in the upper 8 bits, and of the customer; 0 in the lower ones: the work that the pool finished. */
  1: i32 customer,
  2: i64 work,
}

struct OtherCustomersRecord {
  1: i32 number,
  2: i64 work,
}

struct SpeedRecord {
  /* A hash of the endpoint's instance. */
  1: i32 instance,
  /* Relative to the median of its pool, in thousandths. */
  2: i32 speed,
  /* The number of observations in the last 20 seconds. */
  3: i32 weight,
}

struct StreamOriginsRecord {
  /* 0: to be kept, 1: asked for, 2: the answer. */
  1: i32 kind,
  2: list<StreamOriginRecord> streams,
}

struct StreamOriginRecord {
  1: string customer,
  /* The id of the request that brought the first event. */
  2: string request,
  /* Missing if the sender does not know the stream. */
  3: optional string pool,
  /* Missing if it is not known which version wrote the first event. */
  4: optional string version,
}

struct RateLimitRecord {
  /* A hash of the endpoint's instance. */
  1: i32 instance,
  /* In requests a second of all entries; none if the endpoint states none any longer. */
  2: optional double perSecond,
  /* Since the answer that stated it. */
  3: i32 ageMillis,
}

struct FeatureFactRecord {
  /* 0: was at an endpoint that crashed, 1: an endpoint has survived it, 2: is refused. */
  1: i32 kind,
  /* A hash of customer, host, method, path and body, or the id of a part of prompts. */
  2: i64 feature,
  /* Only of a feature that was at an endpoint that crashed, the instance and the pool as hashes. */
  3: optional i32 instance,
  4: optional i32 pool,
  /* The number of endpoints in the pool. */
  5: optional i32 poolSize,
  /* From the sending of the request to the crash. */
  6: optional i32 millis,
  /* Since it was seen. */
  7: optional i32 ageMillis,
}

struct PartUseRecord {
  /* A hash of the endpoint's instance. */
  1: i32 instance,
  2: i64 part,
  3: i64 tokens,
}

struct EndpointLoadRecord {
  /* A hash of the endpoint's instance. */
  1: i32 instance,
  2: i32 inFlight,
  3: i64 waitingWork,
  /* Of the requests in flight those with the shortest targets. */
  4: i32 brief,
}

/* Asks an entry to connect to an endpoint and to pass on what both sides send. */
struct TunnelOpenRecord {
  1: string sharedKey,
  2: string instance,
  /* With either of the next two, no connection is wanted: the endpoint has stated this in a response through a tunnel.
     It wants no requests of the entry that carried the tunnel for so long. */
  3: optional i64 restMillis,
  /* It is leaving. */
  4: optional bool leaving,
}

/* The answer, with the number of a result. */
struct TunnelOpenedRecord {
  1: i32 result,
}

/* An endpoint that the platform lists. */
struct FleetRecord {
  1: string instance,
  2: string pool,
  3: string address,
  4: string dataCentre,
  5: i32 slots,
  6: bool leaving,
  /* Of its software; missing if the platform states none. */
  7: optional string version,
  /* When it started, in Unix milliseconds; missing if the platform does not state it. */
  8: optional i64 born,
}

/* The fleet as a control VM knows it; records only if the revision is another than asked with. */
struct FleetReply {
  1: Result result,
  2: i64 revision,
  3: list<FleetRecord> fleet,
  /* How long before this call was received the read of the platform's list began, negative if after; missing if that is not known. */
  4: optional i64 ageMillis,
}

/* What the platform's list says of an endpoint: 0 live, 1 leaving, 2 gone. */
struct EndpointNotice {
  1: string endpoint,
  2: i32 status,
}

struct ClassReport {
  1: string policy,
  2: i64 epochNumber,
  3: string requestClass,
  4: i64 arrived,
  5: i64 answered,
  6: i64 met,
  7: i64 refused,
  8: i64 failed,
  9: i64 tokensDelivered,
  10: i64 tokensWasted,
  11: i64 retries,
  12: i64 hedges,
}

struct ClaimReply {
  1: Result result,
  2: i32 outcome,
  3: optional binary answer,
  /* Whether this call made the claim, so that its owner may send the request. */
  4: bool granted,
}

struct LeaseReply {
  1: Result result,
  2: i64 fencingNumber,
  3: i64 remainingMillis,
}

struct EntryStatus {
  1: string vm,
  2: string dataCentre,
  3: i64 number,
  4: string digest,
  5: i64 lastSeenMillis,
  6: bool leaving,
  7: list<ClassReport> reports,
  8: string owner,
  9: string loadAddress,
  /* The demand that it told last. */
  10: optional list<PoolDemandRecord> demand,
}

struct ReadIndexReply {
  1: Result result,
  2: i64 index,
}

struct StatusReply {
  1: Result result,
  2: string vm,
  3: string role,
  4: i64 term,
  5: i64 commitIndex,
  6: i64 number,
  7: string digest,
  8: list<MemberRecord> members,
  9: list<EntryStatus> entries,
  10: list<AuditRecord> audit,
  11: string leaseHolder,
  12: i64 fencingNumber,
  13: i64 claims,
}

/* What a replica tells of itself to one with an empty folder. */
struct PeerDescription {
  1: MemberRecord member,
  /* Whether it holds a log; an empty one takes part in founding. */
  2: bool founded,
  3: optional string leaderAddress,
}

/* Between control replicas. */
service ReplicaService {
  /* Returns once the messages are taken in, so that a silent connection shows as a timeout. */
  void deliver(1: string sharedKey, 2: list<ReplicaEnvelope> messages, 3: string senderAddress),
  /* An empty replica asks to join as a learner; the answer's detail is empty on success. */
  Result join(1: string sharedKey, 2: MemberRecord member),
  PeerDescription describe(1: string sharedKey),
}

/* For entries and operators. */
/* What one run of an entry has counted, as a control VM knows it. */
struct RunUsageRecord {
  1: string run,
  2: i64 completeUntil,
  /* Since the run was last heard of. */
  3: i64 ageMillis,
  4: list<UsageWindowRecord> windows,
}

struct FreezeUsageReply {
  1: Result result,
  /* The counts that hold; missing if they were reported before. */
  2: optional UsageWindowRecord usage,
}

struct ProvisionReply {
  1: Result result,
  /* What holds for the pool. */
  2: optional ProvisionRecord provision,
}

service ControlService {
  ApplyReply apply(1: ApplyRequest request),
  PollReply poll(1: string sharedKey, 2: PollRequest request),
  ClaimReply claim(1: string sharedKey, 2: ClaimCommand command, 3: TraceContext trace),
  ClaimReply completeClaim(1: string sharedKey, 2: CompleteClaimCommand command, 3: TraceContext trace),
  Result reportCrash(1: string sharedKey, 2: ReportCrashCommand command),
  LeaseReply acquireLease(1: string sharedKey, 2: AcquireLeaseCommand command),
  LeaseReply releaseLease(1: string sharedKey, 2: ReleaseLeaseCommand command),
  StatusReply status(1: string operatorKey),
  /* Asks the leader up to which entry a linearizable read has to wait. */
  ReadIndexReply readIndex(1: string sharedKey),
  /* Long poll of a control VM for the fleet that the leader read. */
  FleetReply fleet(1: string sharedKey, 2: i64 revision, 3: i64 waitMillis),
  /* The entries that poll here, for the other control VMs. */
  list<EntryStatus> entries(1: string sharedKey, 2: bool withReports),
  /* Fixes the usage of a window; only the leader does. */
  FreezeUsageReply freezeUsage(1: string sharedKey, 2: FreezeUsageCommand command),
  /* The usage that entries have told here, for the other control VMs. */
  list<RunUsageRecord> usage(1: string sharedKey),
  /* Records the provision of a pool; only the leader does. */
  ProvisionReply recordProvision(1: string sharedKey, 2: ProvisionRecord provision),
}
