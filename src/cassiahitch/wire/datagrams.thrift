// Datagrams between the processes of the direct path; regenerate with
//   thrift --gen py:slots -out gen datagrams.thrift
namespace py datagrams

struct CrashRecord {
  1: string host
  2: i64 incarnation
}

struct SuspectRecord {
  1: string organisation
  2: string service_name
  3: string body_digest
  4: i32 epoch
  5: list<CrashRecord> crashes
}

struct VersionRecord {
  1: string model
  2: i32 version
  3: i64 age_ms
}

struct MemberState {
  1: string name
  2: i64 incarnation
  3: i64 sequence
  4: string address
  5: i32 http_port
  6: bool ready
  7: bool leaving
  8: bool silent
  9: string region
  10: i32 capacity
}

struct RegionState {
  1: string region
  2: i64 age_ms
  3: i32 live
  4: list<string> endpoints
}

struct ColdRecord {
  1: i64 left_ms
  2: i64 milli_per_s
}

struct LimitRecord {
  1: string replica
  2: i64 born_ms
  3: i64 milli_per_s
  4: i64 sent_age_ms
  5: i64 received_age_ms
  6: list<ColdRecord> cold
}

struct SegmentCrashRecord {
  1: string replica
  2: i64 born_ms
  3: string service_name
  4: i64 age_ms
  5: list<string> segments
}

struct SegmentRecord {
  1: string service_name
  2: string segment
  3: i64 age_ms
}

struct MemberNews {
  1: i64 number
  2: bool asks
  3: string target
  4: list<MemberState> members
  5: list<RegionState> regions
  6: list<SuspectRecord> suspects
  7: list<VersionRecord> versions
  8: list<LimitRecord> limits
  9: list<SegmentCrashRecord> segment_crashes
  10: list<SegmentRecord> sound_segments
}

struct RequestCost {
  1: i32 output_tokens
}

struct EngineWork {
  1: i32 remaining_tokens
  2: i32 prompt_tokens
}

struct PlaceQuery {
  1: i64 number
  2: i32 prompt_tokens
  3: list<LimitRecord> limits
  4: list<RequestCost> costs
}

struct PlaceReturn {
  1: i64 number
}

struct PermitRefusal {
  1: i64 available_ms
}

struct PermitQuery {
  1: i64 number
  2: list<LimitRecord> limits
}

struct PermitReply {
  1: i64 number
  2: list<LimitRecord> limits
  3: list<PermitRefusal> refusals
}

struct LimitNotice {
  1: list<LimitRecord> limits
}

struct EngineLoad {
  1: i64 number
  2: i64 incarnation
  3: i64 born_ms
  4: i32 running
  5: i32 waiting
  6: i32 slowness_percent
  7: bool loading
  8: string model
  9: i32 version
  10: bool leaving
  11: list<LimitRecord> limits
  12: list<PermitRefusal> refusals
  13: list<EngineWork> work
}

struct ChunkMap {
  1: string model
  2: i32 version
  3: string held
  4: i32 uploads
}

struct TableQuery {
  1: string table
  2: i64 number
}

struct TableState {
  1: string table
  2: i64 number
  3: bool unasked
  4: bool known
  5: i64 since
  6: i64 changed
  7: i64 age_ms
  8: i64 era = -1
}

struct RowRecord {
  1: string key
  2: binary content
  3: bool removed
  4: i64 version
}

struct TableRows {
  1: string table
  2: bool whole
  3: i64 after
  4: i64 since
  5: i64 changed
  6: i64 age_ms
  7: list<RowRecord> rows
  8: i64 era = -1
}

struct Datagram {
  1: MemberNews members
  2: PlaceQuery place_query
  3: EngineLoad load
  4: PlaceReturn place_return
  5: ChunkMap chunks
  6: TableQuery table_query
  7: TableState table_state
  8: TableRows table_rows
  9: PermitQuery permit_query
  10: PermitReply permit_reply
  11: LimitNotice limit_notice
}
