#include "redwingwheel/claims.h"

#include <algorithm>
#include <charconv>

namespace redwingwheel::request {

namespace {

constexpr logged_ms ms_per_second = 1'000;
/// Digits of the issue time in a key. Ten digits cover the years 2001 to 2286.
constexpr std::size_t issue_digits = 10;

/// The issue time in milliseconds of a key "<unix seconds>-<rest>"; empty for a malformed key.
std::optional<logged_ms> issue_time(std::string_view key)
{
    if (key.size() < issue_digits + 2 || key[issue_digits] != '-' || key.front() == '0') {
        return std::nullopt;
    }
    logged_ms seconds = 0;
    const char* const digits_end = key.data() + issue_digits;
    const std::from_chars_result read = std::from_chars(key.data(), digits_end, seconds);
    if (read.ec != std::errc{} || read.ptr != digits_end || seconds < 0) {
        return std::nullopt;
    }
    return seconds * ms_per_second;
}

claim_result verdict_only(claim_verdict verdict)
{
    claim_result result;
    result.verdict = verdict;
    return result;
}

} // namespace

claim_table::claim_table(claim_options chosen, claim_rules chosen_rules)
    : options(chosen), rules(chosen_rules)
{
}

claim_result claim_table::apply(const claim_command& command)
{
    return std::visit([this](const auto& one) { return this->apply_one(one); }, command);
}

void claim_table::advance_time(logged_ms now)
{
    // The clock of a new leader may be behind that of the former leader. Table time is monotonic.
    this->latest_time = std::max(this->latest_time, now);
}

std::optional<claim_verdict> claim_table::reason_to_refuse_key(std::string_view key) const
{
    const std::optional<logged_ms> issued = issue_time(key);
    if (!issued.has_value() || key.size() > this->options.max_key_length) {
        return claim_verdict::malformed_key;
    }
    if (*issued > this->latest_time + this->options.max_clock_skew_ms) {
        return claim_verdict::issued_in_future;
    }
    // A claim of this key cannot have ended before issue - max_clock_skew_ms, so its
    // record is kept until issue - max_clock_skew_ms + retention_ms. After that a missing record
    // does not prove that the request never ran.
    const logged_ms valid_until =
        *issued + this->options.retention_ms - this->options.max_clock_skew_ms;
    if (this->rules.refuse_old_keys && this->latest_time >= valid_until) {
        return claim_verdict::expired;
    }
    return std::nullopt;
}

std::optional<claim_verdict> claim_table::reason_to_refuse(const begin_claim& command) const
{
    if (const std::optional<claim_verdict> refused = this->reason_to_refuse_key(command.key)) {
        return refused;
    }
    if (this->attempt_used(command.attempt)) {
        return claim_verdict::attempt_in_use;
    }
    if (this->is_gone(command.worker, command.incarnation)) {
        return claim_verdict::worker_gone;
    }
    const auto of_account = this->account_records.find(command.account);
    const std::size_t account_count =
        of_account == this->account_records.end() ? 0 : of_account->second;
    if (this->records.size() >= this->options.max_records ||
        account_count >= this->options.max_records_per_account) {
        return claim_verdict::full;
    }
    return std::nullopt;
}

claim_result claim_table::apply_one(const begin_claim& command)
{
    this->advance_time(command.issued_at);
    const auto found = this->records.find(claim_id_view{command.account, command.key});
    if (found != this->records.end()) {
        return this->begin_existing(*found->second, command);
    }
    if (const std::optional<claim_verdict> refused = this->reason_to_refuse(command)) {
        return verdict_only(*refused);
    }
    std::unique_ptr<claim_record> added = std::make_unique<claim_record>();
    claim_record& record = *added;
    record.id = claim_id{command.account, command.key};
    record.payload_digest = command.payload_digest;
    this->records.emplace(claim_id_view{record.id.account, record.id.key}, std::move(added));
    ++this->account_records[command.account];
    this->assign(record, command.attempt, command.worker, command.incarnation);
    return this->make_result(record, claim_verdict::granted);
}

claim_result claim_table::begin_existing(claim_record& record, const begin_claim& command)
{
    if (this->rules.check_digest && record.payload_digest != command.payload_digest) {
        return verdict_only(claim_verdict::conflict);
    }
    const bool same_proposal = record.attempt == command.attempt &&
                               record.worker == command.worker &&
                               record.incarnation == command.incarnation;
    if (record.state == claim_state::running && same_proposal) {
        return this->make_result(record, claim_verdict::granted);
    }
    if (record.state != claim_state::not_run) {
        return this->make_result(record);
    }
    if (this->attempt_used(command.attempt)) {
        return verdict_only(claim_verdict::attempt_in_use);
    }
    if (this->is_gone(command.worker, command.incarnation)) {
        return verdict_only(claim_verdict::worker_gone);
    }
    this->assign(record, command.attempt, command.worker, command.incarnation);
    return this->make_result(record, claim_verdict::granted);
}

claim_result claim_table::apply_one(const reassign_claim& command)
{
    this->advance_time(command.now);
    claim_record* const record = this->find_by_attempt(command.former_attempt);
    if (record == nullptr) {
        return verdict_only(claim_verdict::stale);
    }
    if (record->state == claim_state::running && record->attempt == command.attempt &&
        record->worker == command.worker && record->incarnation == command.incarnation) {
        return this->make_result(*record, claim_verdict::granted);
    }
    if (record->attempt != command.former_attempt) {
        return this->make_result(*record);
    }
    if (this->rules.reassign_needs_not_run && record->state != claim_state::not_run) {
        return this->make_result(*record);
    }
    if (this->attempt_used(command.attempt)) {
        return verdict_only(claim_verdict::attempt_in_use);
    }
    if (this->is_gone(command.worker, command.incarnation)) {
        return verdict_only(claim_verdict::worker_gone);
    }
    this->assign(*record, command.attempt, command.worker, command.incarnation);
    return this->make_result(*record, claim_verdict::granted);
}

claim_result claim_table::apply_one(const finish_claim& command)
{
    this->advance_time(command.now);
    if (this->rules.check_answers && !check_answer(command.final_answer, command.attempt).ok()) {
        return verdict_only(claim_verdict::bad_answer);
    }
    claim_record* const record = this->find_by_attempt(command.attempt);
    if (record == nullptr) {
        return verdict_only(claim_verdict::stale);
    }
    const bool ran = command.final_answer.outcome == outcome_kind::done ||
                     command.final_answer.outcome == outcome_kind::failed;
    const bool holds = record->attempt == command.attempt;
    if (!holds || record->state == claim_state::not_run) {
        this->contradiction_count += ran ? 1 : 0;
        if (this->rules.drop_late_answers) {
            return verdict_only(claim_verdict::stale);
        }
    }
    // The first answer is final. A late complete answer replaces only an unknown outcome.
    if (record->state == claim_state::answered || (record->state == claim_state::unknown && !ran)) {
        return this->make_result(*record);
    }
    switch (command.final_answer.outcome) {
    case outcome_kind::not_run:
        this->end_claim(*record, claim_state::not_run);
        break;
    case outcome_kind::unknown:
        this->end_claim(*record, claim_state::unknown);
        break;
    case outcome_kind::done:
    case outcome_kind::failed:
        this->end_claim(*record, claim_state::answered);
        this->record_answer(*record, command.final_answer);
        break;
    }
    return this->make_result(*record, claim_verdict::recorded);
}

claim_result claim_table::apply_one(const abandon_claim& command)
{
    this->advance_time(command.now);
    claim_record* const record = this->find_by_attempt(command.attempt);
    if (record == nullptr || record->attempt != command.attempt) {
        return verdict_only(claim_verdict::stale);
    }
    if (record->state == claim_state::running) {
        this->end_claim(*record, claim_state::not_run);
    }
    return record->state == claim_state::not_run
               ? this->make_result(*record, claim_verdict::recorded)
               : this->make_result(*record);
}

claim_result claim_table::apply_one(const mark_unknown& command)
{
    this->advance_time(command.now);
    const std::vector<attempt_id> candidates(this->running_attempts.begin(),
                                             this->running_attempts.end());
    for (const attempt_id attempt : candidates) {
        claim_record& record = *this->find_by_attempt(attempt);
        const bool same =
            !this->rules.check_incarnation || record.incarnation == command.incarnation;
        if (record.worker == command.worker && same) {
            this->end_claim(record, claim_state::unknown);
        }
    }
    if (!this->is_gone(command.worker, command.incarnation)) {
        this->gone_incarnations.push_back(
            gone_incarnation{command.worker, command.incarnation, this->latest_time});
        this->gone_incarnation_ids.insert(command.incarnation);
    }
    return verdict_only(claim_verdict::recorded);
}

claim_result claim_table::apply_one(const expire_claims& command)
{
    this->advance_time(command.now);
    const logged_ms ended_before = this->latest_time - this->options.retention_ms;
    while (!this->ended_records.empty() &&
           (*this->ended_records.begin())->ended_at <= ended_before) {
        this->erase_record(**this->ended_records.begin());
    }
    while (!this->gone_incarnations.empty() &&
           this->gone_incarnations.front().marked_at <= ended_before) {
        this->gone_incarnation_ids.erase(this->gone_incarnations.front().incarnation);
        this->gone_incarnations.pop_front();
    }
    return verdict_only(claim_verdict::recorded);
}

claim_result claim_table::look_up(std::string_view account, std::string_view key,
                                  std::uint64_t payload_digest) const
{
    const auto found = this->records.find(claim_id_view{account, key});
    if (found == this->records.end()) {
        const std::optional<claim_verdict> refused = this->reason_to_refuse_key(key);
        return verdict_only(refused.value_or(claim_verdict::unclaimed));
    }
    if (this->rules.check_digest && found->second->payload_digest != payload_digest) {
        return verdict_only(claim_verdict::conflict);
    }
    return this->make_result(*found->second);
}

claim_result claim_table::make_result(const claim_record& record) const
{
    switch (record.state) {
    case claim_state::running:
        return this->make_result(record, claim_verdict::in_progress);
    case claim_state::not_run:
        return this->make_result(record, claim_verdict::unclaimed);
    case claim_state::answered:
        return this->make_result(record, claim_verdict::answered);
    case claim_state::unknown:
        break;
    }
    return this->make_result(record, claim_verdict::unknown);
}

claim_result claim_table::make_result(const claim_record& record, claim_verdict verdict) const
{
    claim_result result;
    result.verdict = verdict;
    result.attempt = record.attempt;
    result.worker = record.worker;
    result.incarnation = record.incarnation;
    if (verdict == claim_verdict::answered) {
        result.recorded = record.final_answer;
        result.body_kept = record.body_kept;
    }
    return result;
}

claim_table::claim_record* claim_table::find_by_attempt(attempt_id attempt)
{
    const auto found = this->records_by_attempt.find(attempt);
    return found == this->records_by_attempt.end() ? nullptr : found->second;
}

bool claim_table::attempt_used(attempt_id attempt) const
{
    return attempt == 0 || this->records_by_attempt.contains(attempt);
}

bool claim_table::is_gone(std::string_view worker, incarnation_id incarnation) const
{
    return this->rules.check_incarnation && this->gone_incarnation_ids.contains(incarnation) &&
           std::any_of(this->gone_incarnations.begin(), this->gone_incarnations.end(),
                       [worker, incarnation](const gone_incarnation& one) {
                           return one.incarnation == incarnation && one.worker == worker;
                       });
}

void claim_table::assign(claim_record& record, attempt_id attempt, std::string_view worker,
                         incarnation_id incarnation)
{
    if (record.attempt != 0) {
        record.former_attempts.push_back(record.attempt);
        this->running_attempts.erase(record.attempt);
        if (this->records_with_body.contains(&record)) {
            this->drop_body(record);
        }
        this->ended_records.erase(&record);
    }
    record.attempt = attempt;
    record.worker = worker;
    record.incarnation = incarnation;
    record.state = claim_state::running;
    record.ended_at = 0;
    this->records_by_attempt.emplace(attempt, &record);
    this->running_attempts.insert(attempt);
}

void claim_table::end_claim(claim_record& record, claim_state state)
{
    // The retention time counts from the first end of the claim.
    if (record.state == claim_state::running) {
        this->running_attempts.erase(record.attempt);
        record.ended_at = this->latest_time;
        this->ended_records.insert(&record);
    }
    record.state = state;
}

void claim_table::record_answer(claim_record& record, const answer& received)
{
    record.final_answer = received;
    record.body_kept = true;
    this->body_bytes += record.final_answer.body.size();
    this->records_with_body.insert(&record);
    if (received.body.size() > this->options.max_body_bytes) {
        this->drop_body(record);
    }
    while (this->body_bytes > this->options.max_total_body_bytes) {
        this->drop_body(**this->records_with_body.begin());
    }
}

void claim_table::drop_body(claim_record& record)
{
    this->records_with_body.erase(&record);
    this->body_bytes -= record.final_answer.body.size();
    record.body_kept = record.final_answer.body.empty();
    record.final_answer.body.clear();
    record.final_answer.body.shrink_to_fit();
}

void claim_table::erase_record(claim_record& record)
{
    if (this->records_with_body.contains(&record)) {
        this->drop_body(record);
    }
    this->ended_records.erase(&record);
    this->records_by_attempt.erase(record.attempt);
    for (const attempt_id former : record.former_attempts) {
        this->records_by_attempt.erase(former);
    }
    const auto of_account = this->account_records.find(record.id.account);
    if (--of_account->second == 0) {
        this->account_records.erase(of_account);
    }
    this->records.erase(this->records.find(claim_id_view{record.id.account, record.id.key}));
}

std::string claim_table::pack_snapshot() const
{
    snapshot taken;
    taken.latest_time = this->latest_time;
    taken.contradictions = this->contradiction_count;
    taken.gone_incarnations.assign(this->gone_incarnations.begin(), this->gone_incarnations.end());
    taken.records.reserve(this->records.size());
    for (const auto& [id, record] : this->records) {
        taken.records.push_back(*record);
    }
    return pack(taken);
}

absl::Status claim_table::restore_snapshot(std::string_view bytes)
{
    absl::StatusOr<snapshot> taken = unpack<snapshot>(bytes);
    if (!taken.ok()) {
        return translate_error(claim_errc::malformed_snapshot, taken.status());
    }
    if (taken->version != snapshot_version) {
        return make_error(claim_errc::malformed_snapshot,
                          "unsupported version of the claims snapshot");
    }
    claim_table restored(this->options, this->rules);
    restored.latest_time = taken->latest_time;
    restored.contradiction_count = taken->contradictions;
    restored.gone_incarnations.assign(taken->gone_incarnations.begin(),
                                      taken->gone_incarnations.end());
    for (const gone_incarnation& one : restored.gone_incarnations) {
        restored.gone_incarnation_ids.insert(one.incarnation);
    }
    for (claim_record& record : taken->records) {
        if (!restored.insert_restored(std::move(record))) {
            return make_error(claim_errc::malformed_snapshot,
                              "duplicate key or attempt, or invalid state, in the claim records");
        }
    }
    *this = std::move(restored);
    return absl::OkStatus();
}

bool claim_table::insert_restored(claim_record taken)
{
    std::unique_ptr<claim_record> added = std::make_unique<claim_record>(std::move(taken));
    claim_record* const record = added.get();
    const claim_id_view view{record->id.account, record->id.key};
    if (record->state > claim_state::unknown || this->records.contains(view)) {
        return false;
    }
    bool unique = this->records_by_attempt.emplace(record->attempt, record).second;
    for (const attempt_id former : record->former_attempts) {
        unique = this->records_by_attempt.emplace(former, record).second && unique;
    }
    ++this->account_records[record->id.account];
    if (record->state == claim_state::running) {
        this->running_attempts.insert(record->attempt);
    }
    else {
        this->ended_records.insert(record);
    }
    if (record->state == claim_state::answered && record->body_kept) {
        this->records_with_body.insert(record);
        this->body_bytes += record->final_answer.body.size();
    }
    this->records.emplace(view, std::move(added));
    return unique;
}

} // namespace redwingwheel::request
