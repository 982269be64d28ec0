/** Messages between filbertdrift nodes, and the records nodes keep on the log. */
namespace py filbertdrift_wire

enum MemberStatus {
  IDLE = 1
  SERVING = 2
  LEAVING = 3
  SUSPECT = 4
  DEAD = 5
}

/** One node and the target announced beside it. */
struct MemberEntry {
  1: string node
  2: string domain
  3: string region
  4: string service_name
  5: i64 generation
  6: i32 version
  7: MemberStatus status
  8: i32 slots
  /** Capacity of the node's link; 0 if unknown. */
  9: optional i32 link_mbps
  /** What its target states as its version. */
  10: optional string target_version
  /** Latest start of its target that has left, while none serves. */
  11: optional string departed_instance
  12: optional i64 departed_born_ms
}

/** What a node holds, in a few bytes. */
struct StateDigest {
  1: i64 config_offset
  2: binary config_digest
  3: i64 members_digest
  4: optional i64 crashes_digest
}

struct Ping {
  1: i64 sequence
  2: StateDigest digest
}

struct Ack {
  1: i64 sequence
  2: StateDigest digest
  3: list<MemberEntry> updates
}

/** Asks the receiver to ping another node on the sender's behalf. */
struct PingRequest {
  1: i64 sequence
  2: string node
}

struct OffsetRecord {
  1: i64 offset
  2: binary payload
}

/** Evidence of a reader of the log that a version was the newest one. */
struct LogConfirmation {
  1: i64 version
  /** Where a reader continues: the era of the log and an offset in it. */
  2: i64 era
  3: i64 next_offset
  /** Upper bound of the age of the evidence when this message was sent. */
  4: i64 age_ms
  /** The node that read the log, and how long before this was sent. */
  5: string reader
  6: i64 read_age_ms
  /** It is not one of the usual readers. */
  7: bool is_takeover
  /** When this was sent, on a clock of the sender. */
  8: optional i64 sent_at_ms
}

/**
 * Pushed at once when a node has adopted a newer configuration, or evidence
 * that its configuration is the newest. Of whole documents, a record is the
 * delta from the version that its offset names.
 */
struct ConfigNotice {
  1: i64 config_offset
  2: binary config_digest
  3: list<OffsetRecord> records
  4: optional LogConfirmation confirmation
}

/** Pushed at once when a node has learned membership changes. */
struct MemberNotice {
  1: list<MemberEntry> updates
}

/** Fingerprints that ran while a target crashed, or that have run well. */
struct CrashNotice {
  1: string crash_id
  2: list<string> fingerprints
  3: bool cleared
}

/** What an operator orders for a service. */
struct RolloutOrder {
  1: string service_name
  2: string target_version
  3: i64 duration_ms
  /** Hash of the record, and its place in the log. */
  4: i64 digest
  5: i64 era
  6: i64 offset
  /** Time since it was read when this was sent. */
  7: i64 age_ms
}

/** A step of a roll-out; also a record of the stream of steps. */
struct RolloutStep {
  1: i64 number
  2: i32 phase
  3: RolloutOrder order
  /** The versions that served before. */
  4: list<string> old_versions
  /** Number of the step that began the trial. */
  5: i64 trial_number
  6: string reason
  7: string writer
}

/** Responses of the old and of the new version on one route. */
struct RouteOutcomes {
  1: string route_name
  2: i64 old_failures
  3: i64 new_failures
  /** Responses by latency, see filbertdrift.rollouts.counts. */
  4: list<i64> old_latencies
  5: list<i64> new_latencies
  /** Responses from other failure domains, whose latency is not compared. */
  6: i64 old_far
  7: i64 new_far
  /** Attempts at the new version without a response yet, by their age. */
  8: optional list<i64> new_waiting
}

/** Cumulative counts of an ingress since the trial began. */
struct RolloutReport {
  1: string service_name
  2: i64 sequence
  3: i64 step_number
  4: i64 trial_number
  5: i64 requests
  6: i64 exposed
  /** Attempts of this ingress that have not ended at old targets. */
  7: i32 old_in_progress
  8: i64 order_age_ms
  9: list<RouteOutcomes> routes
}

/** The newest step of a service; a reply to a report if sequence is set. */
struct RolloutNotice {
  1: string service_name
  2: optional RolloutStep step
  3: optional i64 sequence
  /** The new version may be used. */
  4: bool is_permitted
  /** An order that no step answers yet. */
  5: optional RolloutOrder order
}

/** Tokens of one account: what a node asks for, in an ask. */
struct QuotaWant {
  1: string account
  /** Requests that wait for a token. */
  2: i32 urgent
  /** Requests that are expected soon. */
  3: i32 ahead
  /** Unused tokens of this keeper that the node holds. */
  4: i32 held
}

/**
 * Asks the keeper of a slot for tokens, and pledges the sender's share of all
 * accounts of the slot to it.
 */
struct QuotaAsk {
  1: i64 sequence
  2: i32 slot
  /** The pledged share in millionths; absent if it must not be used. */
  3: optional i32 share_millionths
  /** A time that the keeper's clock has certainly reached. */
  4: optional i64 stamp_ms
  5: optional list<QuotaWant> wants
}

struct QuotaTokens {
  1: string account
  /** What the node may hold now, tokens that it held before included. */
  2: i32 tokens
  /** When another token can be expected; absent if none was refused. */
  3: optional i32 wait_ms
}

struct QuotaGrant {
  1: i64 sequence
  2: i32 slot
  /** The keeper's clock, to be sent back with the next ask. */
  3: i64 stamp_ms
  4: optional list<QuotaTokens> grants
}

struct QuotaShare {
  1: string account
  2: i32 share_millionths
  /** Tokens that move to the borrower with a loan. */
  3: optional i32 tokens
}

/** Asks the keeper in another domain to lend shares. */
struct LoanAsk {
  1: i64 stamp_ms
  2: list<QuotaShare> wants
}

struct LoanGrant {
  /** The borrower's time stamp. */
  1: i64 stamp_ms
  2: list<QuotaShare> loans
}

/** What one start of a target has said of itself with its responses. */
struct TargetNotice {
  1: string instance
  2: i64 born_ms
  /** Requests a second that it takes from all nodes; none if unlimited. */
  3: optional double limit_per_s
  /** It accepts no new requests. */
  4: bool is_leaving
}

/** One UDP datagram; exactly one message field is set. */
struct Datagram {
  1: string sender
  2: optional Ping ping
  3: optional Ack ack
  4: optional PingRequest ping_request
  5: optional ConfigNotice config_notice
  6: optional MemberNotice member_notice
  7: i64 generation
  8: optional CrashNotice crash_notice
  9: optional RolloutReport rollout_report
  10: optional RolloutNotice rollout_notice
  12: optional QuotaAsk quota_ask
  13: optional QuotaGrant quota_grant
  14: optional LoanAsk loan_ask
  15: optional LoanGrant loan_grant
  16: optional TargetNotice target_notice
}

/** One file of operators' configuration; no content means removal. */
struct ConfigFile {
  1: string name
  2: optional string content
}

/** A record of the configuration stream. */
struct ConfigRecord {
  1: string record_id
  2: i64 base_offset
  3: list<ConfigFile> files
  4: string author
  5: i32 raise_rules
}

struct StoredFile {
  1: string name
  2: optional string content
  3: i64 revision
}

struct StoredVerdict {
  1: i64 offset
  2: string record_id
  3: i32 kind
  4: string reason
  5: i64 overtaken_by
}

/** A record of the checkpoint stream: the configuration at one offset. */
struct Checkpoint {
  1: i64 offset
  2: i32 rules
  3: list<StoredFile> files
  4: list<StoredVerdict> verdicts
}

/** A record of the introduction stream: nodes that answer newcomers. */
struct Introduction {
  1: string domain
  2: list<string> nodes
}

struct PullConfig {
  1: i64 config_offset
  2: bool whole
  /** Versions whose documents the sender has, so that a delta can be sent. */
  3: optional list<i64> held_versions
}

/**
 * Records after the asked offset, or the whole state when they are gone. Of
 * whole documents, a record is the delta from the version that it names.
 */
struct ConfigDelta {
  1: list<OffsetRecord> records
  2: i64 config_offset
  3: binary config_digest
  4: optional binary checkpoint
  5: i32 come_back_ms
}

/** Asks for the members whose bucket digests differ; sender is included. */
struct SyncMembers {
  1: list<i64> buckets
  2: MemberEntry sender
}

struct MembersDelta {
  1: list<MemberEntry> entries
  2: i32 come_back_ms
}

/** Asks for the crash notices that the sender does not know. */
struct SyncCrashes {
  1: list<string> known_ids
}

struct CrashesDelta {
  1: list<CrashNotice> notices
}

struct Header {
  1: binary name
  2: binary content
}

/** Opens one forwarded request; remaining_ms is the caller's deadline. */
struct RequestOpen {
  1: string method
  2: string path
  3: list<Header> headers
  4: i32 remaining_ms
  5: string service_name
  6: i32 importance
  7: string customer
  8: binary body
  9: bool end
  10: string request_id
  11: string fingerprint
  12: list<i32> refusal_statuses
  13: i64 generation
  15: i32 stall_ms
  /** What is left until the answer counts as slow. */
  16: i32 objective_ms
  /** Route, for the estimate of how long it runs. */
  17: string route_name
  /** It may run more than once. */
  18: bool is_idempotent
  /** Refuse it rather than let it wait for a slot. */
  19: bool no_wait
  /** Only the head: the first credit asks for the body, which must follow. */
  20: bool is_offer
  /** When it was sent, on a clock of the sender that never stops. */
  21: optional i64 sent_at_ms
  /** Its body takes a while on a narrow link. */
  22: optional bool has_large_body
  /** What the sender has heard of the target, for a node that restarted. */
  23: optional TargetNotice known_target
  /**
   * How long it may run without a response until the sender is told, since it
   * may try another target then; absent if it cannot.
   */
  24: optional i32 patience_ms
  /** It must not be handed to the target later; absent without such a limit. */
  29: optional i32 start_within_ms
  /** Expected service time at a target of usual speed, in microseconds. */
  25: optional i32 cost_us
  /**
   * The least that the receiver's clock showed when it was sent, as known from
   * replies to keepalives.
   */
  30: optional i64 receiver_clock_ms
}

struct BodyChunk {
  1: binary body
  2: bool end
}

struct Credit {
  1: i32 amount_bytes
}

/** State of a target and its gate, for the choice of a target. */
struct GateReport {
  /** Remaining work of all requests at the gate, over slots and speed. */
  1: i32 backlog_ms
  /** Less than zero if requests wait. */
  2: i32 free_slots
  /** Speed at a slowdown of 100 percent; 1000 is the usual one. */
  3: i32 speed_permille
  /** How long work takes now, in percent, as stated by the target. */
  4: optional i32 slowdown_percent
  5: optional i32 slowdown_age_ms
  /** How long the target ran the request, and how long the gate had it. */
  6: optional i32 service_ms
  7: optional i32 held_ms
}

struct AnswerOpen {
  1: i32 status
  2: list<Header> headers
  3: binary body
  4: bool end
  5: i32 load_permille
  /** Set while the target states a limit or that it leaves. */
  6: optional TargetNotice notice
  /** When the target's limit allows another request. */
  7: optional i32 limited_ms
  10: optional GateReport gate_report
}

enum RefusalKind {
  NOT_RUN = 1
  UNKNOWN = 2
}

struct Refusal {
  1: RefusalKind kind
  2: string reason
  3: i32 come_back_ms
  4: i32 load_permille
  /** The target itself refused, so the retry budget counts the arrival. */
  5: bool reached_target
  /** It would have had to wait and was told not to. */
  6: bool no_free_slot
  /** As in AnswerOpen. */
  7: optional TargetNotice notice
  8: optional i32 limited_ms
  /** The target has reached its limit, which is no failure. */
  9: optional bool is_rate_limited
  10: optional GateReport gate_report
}

struct Cancel {
}

/** A run that the sender might try elsewhere has no response for long. */
struct RunOverdue {
}

struct KeepAlive {
  1: bool reply
  /** In a reply: when it was sent, on a clock of the sender that never stops. */
  2: optional i64 clock_ms
}

enum ClaimKind {
  CLAIM = 1
  DONE = 2
  RELEASE = 3
}

/**
 * A claim to run one request, its answer, or its release. The key is scoped
 * to its customer; times are milliseconds since the epoch.
 */
struct ClaimEntry {
  1: string key
  2: string claim_id
  3: ClaimKind kind
  4: string fingerprint
  5: i64 written_ms
  6: i64 expires_ms
  7: i32 status
  8: optional binary body
  9: string content_type
}

/** A record of a claim stream: many claims in one append. */
struct ClaimBatch {
  1: string batch_id
  2: list<ClaimEntry> entries
}

struct ClaimAsk {
  1: ClaimEntry entry
}

/** What holds a key on the stream; a failure means that nobody can tell. */
struct ClaimVerdict {
  1: optional ClaimEntry holder
  2: string failure
}

/** One frame of a connection between two nodes; one message field is set. */
struct Frame {
  1: i64 call_id
  2: optional RequestOpen request_open
  3: optional BodyChunk body_chunk
  4: optional Credit credit
  5: optional AnswerOpen answer_open
  6: optional Refusal refusal
  7: optional Cancel cancel
  8: optional KeepAlive keep_alive
  9: optional PullConfig pull_config
  10: optional ConfigDelta config_delta
  11: optional SyncMembers sync_members
  12: optional MembersDelta members_delta
  13: optional ClaimAsk claim_ask
  14: optional ClaimVerdict claim_verdict
  15: optional SyncCrashes sync_crashes
  16: optional CrashesDelta crashes_delta
  17: optional RunOverdue run_overdue
}
