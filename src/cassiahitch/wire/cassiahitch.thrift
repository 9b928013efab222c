// Messages between the processes of cassiahitch; regenerate with
//   thrift --gen py:slots -out gen cassiahitch.thrift
namespace py messages

struct Challenge {
  1: binary nonce
}

struct Hello {
  1: string role
  2: string host
  3: i64 incarnation
  4: string region
  5: string failure_domain
  6: string address
  7: i32 port
  8: binary nonce
  9: binary proof
  10: i64 clock_ms
}

struct CachedPrefix {
  1: i64 sequence
  2: string prefix
  3: bool cached
}

struct Heartbeat {
  1: i64 incarnation
  2: i64 sequence
  3: i64 uptime_ms
  4: i64 clock_ms
  5: i64 revision
  6: bool leaving
  7: bool ready
  8: i32 running
  9: i32 queued
  10: i32 capacity
  11: string deployment
  12: string loaded_digest
  13: string loading_digest
  14: i64 load_epoch
  15: list<string> complete_digests
  16: i32 chunks_complete
  17: i32 http_port
  18: string plain_service
  19: i64 backend_crashes
  20: i64 cache_sequence
  21: list<CachedPrefix> cache_events
}

struct Dispatch {
  1: binary request_id
  2: string ledger_key
  3: i64 incarnation
  4: i64 not_after_ms
  5: string organisation
  6: string service_name
  7: binary body_digest
  8: binary body
  9: i32 priority
  10: bool stream
  11: string claim_key
  12: bool idempotent
  13: i64 deadline_ms
  14: bool alone
}

struct AnswerPart {
  1: binary request_id
  2: i32 index
  3: binary body
}

struct Answer {
  1: binary request_id
  2: binary body_digest
  3: i32 code
  4: string ran
  5: string detail
  6: binary body
  7: i64 length
  8: binary checksum
  9: string weights_digest
  10: bool backend_crashed
  11: bool replayed
  12: i64 backend_crashes
}

struct Void {
  1: string ledger_key
  2: i64 incarnation
  3: i64 not_after_ms
  4: bool takeover
  5: binary body_digest
}

struct Status {
  1: string ledger_key
  2: i64 incarnation
  3: i64 not_after_ms
  4: binary body_digest
}

struct LedgerState {
  1: string ledger_key
  2: string state
  3: i64 incarnation
  4: list<Answer> answers
}

struct Cancel {
  1: binary request_id
}

struct ConfigurationPull {
  1: i64 after_revision
}

struct ConfigurationUpdate {
  1: i64 base_revision
  2: i64 revision
  3: bool snapshot
  4: binary document
}

struct PeerAddress {
  1: string host
  2: string address
  3: i32 port
  4: i64 incarnation
}

struct FetchOrder {
  1: string deployment
  2: string manifest_digest
  3: string origin
  4: binary plan
  5: i64 fencing_number
}


struct OrderLoad {
  1: string deployment
  2: string digest
  3: list<string> manifests
  4: i64 fencing_number
}

struct OrderReply {
  1: i32 code
  2: string detail
}

struct ChunkRequest {
  1: string manifest_digest
  2: i32 index
  3: string host
  4: i32 wait_ms
}

struct ChunkReply {
  1: string manifest_digest
  2: i32 index
  3: i32 code
  4: binary content
}

struct EntryGossip {
  1: string host
  2: i64 incarnation
  3: binary news
}

struct Failure {
  1: i32 code
  2: string detail
}

struct Release {
  1: string deployment
  2: i64 fencing_number
}

struct CancelLoad {
  1: string digest
  2: i64 fencing_number
}

struct OrderDrain {
  1: i64 fencing_number
}

struct Locate {
  1: string host
}

struct ReportPull {
  1: string topic
  2: string request_id
  3: string rollout_id
}

struct Report {
  1: binary document
}

struct Frame {
  1: i64 id
  2: i64 reply_to
  3: i64 clock
  10: optional Challenge challenge
  11: optional Hello hello
  12: optional Heartbeat heartbeat
  13: optional Dispatch dispatch
  14: optional AnswerPart answer_part
  15: optional Answer answer
  16: optional Void void_
  17: optional Status status
  18: optional LedgerState ledger_state
  19: optional Cancel cancel
  20: optional ConfigurationPull configuration_pull
  21: optional ConfigurationUpdate configuration_update
  22: optional FetchOrder fetch_order
  23: optional CancelLoad cancel_load
  24: optional OrderLoad order_load
  25: optional OrderReply order_reply
  26: optional ChunkRequest chunk_request
  27: optional ChunkReply chunk_reply
  28: optional EntryGossip entry_gossip
  29: optional Failure failure
  30: optional Release release
  31: optional OrderDrain order_drain
  32: optional Locate locate
  33: optional PeerAddress peer_address
  34: optional ReportPull report_pull
  35: optional Report report
}
