#include "redwingwheel/claims.h"

#include <algorithm>
#include <charconv>

namespace redwingwheel::request {

namespace {

constexpr logged_ms ms_per_second = 1'000;
/// Digits of a key's time of issue: ten cover the years 2001 to 2286.
constexpr std::size_t issue_digits = 10;

/// The time of issue in a key "<unix seconds>-<rest>"; empty when the key has another form.
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

claim_table::claim_table(claim_options chosen, claim_rules kept_rules)
    : options(chosen), rules(kept_rules)
{
}

claim_result claim_table::apply(const claim_command& command)
{
    return std::visit([this](const auto& one) { return this->apply_one(one); }, command);
}

void claim_table::advance(logged_ms now)
{
    // A new leader's clock may be behind the last one's: time in the table never goes back.
    this->latest = std::max(this->latest, now);
}

std::optional<claim_verdict> claim_table::refuse_key(std::string_view key) const
{
    const std::optional<logged_ms> issued = issue_time(key);
    if (!issued.has_value() || key.size() > this->options.key_length_bound) {
        return claim_verdict::malformed_key;
    }
    if (*issued > this->latest + this->options.future_ms) {
        return claim_verdict::issued_in_future;
    }
    // A claim of this key cannot have ended before issue - future_ms, so its record is still kept
    // until issue - future_ms + kept_ms. After that a missing record proves nothing.
    const logged_ms valid_until = *issued + this->options.kept_ms - this->options.future_ms;
    if (this->rules.refuse_old_keys && this->latest >= valid_until) {
        return claim_verdict::expired;
    }
    return std::nullopt;
}

std::optional<claim_verdict> claim_table::reason_to_refuse(const begin_claim& command) const
{
    if (const std::optional<claim_verdict> refused = this->refuse_key(command.key)) {
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
    if (this->records.size() >= this->options.records_bound ||
        account_count >= this->options.account_records_bound) {
        return claim_verdict::full;
    }
    return std::nullopt;
}

claim_result claim_table::apply_one(const begin_claim& command)
{
    this->advance(command.issued_at);
    const auto found = this->records.find(claim_view{command.account, command.key});
    if (found != this->records.end()) {
        return this->begin_known(*found->second, command);
    }
    if (const std::optional<claim_verdict> refused = this->reason_to_refuse(command)) {
        return verdict_only(*refused);
    }
    std::unique_ptr<claim_record> added = std::make_unique<claim_record>();
    claim_record& record = *added;
    record.id = claim_id{command.account, command.key};
    record.payload_digest = command.payload_digest;
    this->records.emplace(claim_view{record.id.account, record.id.key}, std::move(added));
    ++this->account_records[command.account];
    this->assign(record, command.attempt, command.worker, command.incarnation);
    return this->describe(record, claim_verdict::granted);
}

claim_result claim_table::begin_known(claim_record& known, const begin_claim& command)
{
    if (this->rules.check_digest && known.payload_digest != command.payload_digest) {
        return verdict_only(claim_verdict::conflict);
    }
    const bool same_proposal = known.attempt == command.attempt && known.worker == command.worker &&
                               known.incarnation == command.incarnation;
    if (known.state == claim_state::running && same_proposal) {
        return this->describe(known, claim_verdict::granted);
    }
    if (known.state != claim_state::not_run) {
        return this->describe(known);
    }
    if (this->attempt_used(command.attempt)) {
        return verdict_only(claim_verdict::attempt_in_use);
    }
    if (this->is_gone(command.worker, command.incarnation)) {
        return verdict_only(claim_verdict::worker_gone);
    }
    this->assign(known, command.attempt, command.worker, command.incarnation);
    return this->describe(known, claim_verdict::granted);
}

claim_result claim_table::apply_one(const reassign_claim& command)
{
    this->advance(command.now);
    claim_record* const record = this->find_by_attempt(command.former_attempt);
    if (record == nullptr) {
        return verdict_only(claim_verdict::stale);
    }
    if (record->state == claim_state::running && record->attempt == command.attempt &&
        record->worker == command.worker && record->incarnation == command.incarnation) {
        return this->describe(*record, claim_verdict::granted);
    }
    if (record->attempt != command.former_attempt) {
        return this->describe(*record);
    }
    if (this->rules.reassign_needs_not_run && record->state != claim_state::not_run) {
        return this->describe(*record);
    }
    if (this->attempt_used(command.attempt)) {
        return verdict_only(claim_verdict::attempt_in_use);
    }
    if (this->is_gone(command.worker, command.incarnation)) {
        return verdict_only(claim_verdict::worker_gone);
    }
    this->assign(*record, command.attempt, command.worker, command.incarnation);
    return this->describe(*record, claim_verdict::granted);
}

claim_result claim_table::apply_one(const finish_claim& command)
{
    this->advance(command.now);
    if (this->rules.check_answers && !check_answer(command.given, command.attempt).ok()) {
        return verdict_only(claim_verdict::bad_answer);
    }
    claim_record* const record = this->find_by_attempt(command.attempt);
    if (record == nullptr) {
        return verdict_only(claim_verdict::stale);
    }
    const bool ran = command.given.outcome == outcome_kind::done ||
                     command.given.outcome == outcome_kind::failed;
    const bool holds = record->attempt == command.attempt;
    if (!holds || record->state == claim_state::not_run) {
        this->contradiction_count += ran ? 1 : 0;
        if (this->rules.drop_late_answers) {
            return verdict_only(claim_verdict::stale);
        }
    }
    // The first answer stands. A late whole answer replaces unknown, as it is the truth.
    if (record->state == claim_state::answered || (record->state == claim_state::unknown && !ran)) {
        return this->describe(*record);
    }
    switch (command.given.outcome) {
    case outcome_kind::not_run:
        this->end(*record, claim_state::not_run);
        break;
    case outcome_kind::unknown:
        this->end(*record, claim_state::unknown);
        break;
    case outcome_kind::done:
    case outcome_kind::failed:
        this->end(*record, claim_state::answered);
        this->record_answer(*record, command.given);
        break;
    }
    return this->describe(*record, claim_verdict::recorded);
}

claim_result claim_table::apply_one(const abandon_claim& command)
{
    this->advance(command.now);
    claim_record* const record = this->find_by_attempt(command.attempt);
    if (record == nullptr || record->attempt != command.attempt) {
        return verdict_only(claim_verdict::stale);
    }
    if (record->state == claim_state::running) {
        this->end(*record, claim_state::not_run);
    }
    return record->state == claim_state::not_run ? this->describe(*record, claim_verdict::recorded)
                                                 : this->describe(*record);
}

claim_result claim_table::apply_one(const mark_unknown& command)
{
    this->advance(command.now);
    const std::vector<attempt_id> candidates(this->running.begin(), this->running.end());
    for (const attempt_id attempt : candidates) {
        claim_record& record = *this->find_by_attempt(attempt);
        const bool same =
            !this->rules.check_incarnation || record.incarnation == command.incarnation;
        if (record.worker == command.worker && same) {
            this->end(record, claim_state::unknown);
        }
    }
    if (!this->is_gone(command.worker, command.incarnation)) {
        this->gone.push_back(gone_incarnation{command.worker, command.incarnation, this->latest});
        this->gone_ids.insert(command.incarnation);
    }
    return verdict_only(claim_verdict::recorded);
}

claim_result claim_table::apply_one(const expire_claims& command)
{
    this->advance(command.now);
    const logged_ms ended_before = this->latest - this->options.kept_ms;
    while (!this->endings.empty() && (*this->endings.begin())->ended_at <= ended_before) {
        this->forget(**this->endings.begin());
    }
    while (!this->gone.empty() && this->gone.front().marked_at <= ended_before) {
        this->gone_ids.erase(this->gone.front().incarnation);
        this->gone.pop_front();
    }
    return verdict_only(claim_verdict::recorded);
}

claim_result claim_table::look_up(std::string_view account, std::string_view key,
                                  std::uint64_t payload_digest) const
{
    const auto found = this->records.find(claim_view{account, key});
    if (found == this->records.end()) {
        const std::optional<claim_verdict> refused = this->refuse_key(key);
        return verdict_only(refused.value_or(claim_verdict::unclaimed));
    }
    if (this->rules.check_digest && found->second->payload_digest != payload_digest) {
        return verdict_only(claim_verdict::conflict);
    }
    return this->describe(*found->second);
}

claim_result claim_table::describe(const claim_record& known) const
{
    switch (known.state) {
    case claim_state::running:
        return this->describe(known, claim_verdict::in_progress);
    case claim_state::not_run:
        return this->describe(known, claim_verdict::unclaimed);
    case claim_state::answered:
        return this->describe(known, claim_verdict::answered);
    case claim_state::unknown:
        break;
    }
    return this->describe(known, claim_verdict::unknown);
}

claim_result claim_table::describe(const claim_record& known, claim_verdict verdict) const
{
    claim_result result;
    result.verdict = verdict;
    result.attempt = known.attempt;
    result.worker = known.worker;
    result.incarnation = known.incarnation;
    if (verdict == claim_verdict::answered) {
        result.recorded = known.given;
        result.body_kept = known.body_kept;
    }
    return result;
}

claim_table::claim_record* claim_table::find_by_attempt(attempt_id attempt)
{
    const auto found = this->attempts.find(attempt);
    return found == this->attempts.end() ? nullptr : found->second;
}

bool claim_table::attempt_used(attempt_id attempt) const
{
    return attempt == 0 || this->attempts.contains(attempt);
}

bool claim_table::is_gone(std::string_view worker, incarnation_id incarnation) const
{
    return this->rules.check_incarnation && this->gone_ids.contains(incarnation) &&
           std::any_of(this->gone.begin(), this->gone.end(),
                       [worker, incarnation](const gone_incarnation& one) {
                           return one.incarnation == incarnation && one.worker == worker;
                       });
}

void claim_table::assign(claim_record& record, attempt_id attempt, std::string_view worker,
                         incarnation_id incarnation)
{
    if (record.attempt != 0) {
        record.former.push_back(record.attempt);
        this->running.erase(record.attempt);
        if (this->bodies.contains(&record)) {
            this->drop_body(record);
        }
        this->endings.erase(&record);
    }
    record.attempt = attempt;
    record.worker = worker;
    record.incarnation = incarnation;
    record.state = claim_state::running;
    record.ended_at = 0;
    this->attempts.emplace(attempt, &record);
    this->running.insert(attempt);
}

void claim_table::end(claim_record& record, claim_state state)
{
    // A record that has ended keeps its first end, from which its 24 hours count.
    if (record.state == claim_state::running) {
        this->running.erase(record.attempt);
        record.ended_at = this->latest;
        this->endings.insert(&record);
    }
    record.state = state;
}

void claim_table::record_answer(claim_record& record, const answer& given)
{
    record.given = given;
    record.body_kept = true;
    this->body_bytes += record.given.body.size();
    this->bodies.insert(&record);
    if (given.body.size() > this->options.body_bound_bytes) {
        this->drop_body(record);
    }
    while (this->body_bytes > this->options.bodies_bound_bytes) {
        this->drop_body(**this->bodies.begin());
    }
}

void claim_table::drop_body(claim_record& record)
{
    this->bodies.erase(&record);
    this->body_bytes -= record.given.body.size();
    record.body_kept = record.given.body.empty();
    record.given.body.clear();
    record.given.body.shrink_to_fit();
}

void claim_table::forget(claim_record& record)
{
    if (this->bodies.contains(&record)) {
        this->drop_body(record);
    }
    this->endings.erase(&record);
    this->attempts.erase(record.attempt);
    for (const attempt_id former : record.former) {
        this->attempts.erase(former);
    }
    const auto of_account = this->account_records.find(record.id.account);
    if (--of_account->second == 0) {
        this->account_records.erase(of_account);
    }
    this->records.erase(this->records.find(claim_view{record.id.account, record.id.key}));
}

std::string claim_table::pack_snapshot() const
{
    snapshot taken;
    taken.latest = this->latest;
    taken.contradictions = this->contradiction_count;
    taken.gone.assign(this->gone.begin(), this->gone.end());
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
        return make_error(claim_errc::malformed_snapshot, "unknown version");
    }
    claim_table restored(this->options, this->rules);
    restored.latest = taken->latest;
    restored.contradiction_count = taken->contradictions;
    restored.gone.assign(taken->gone.begin(), taken->gone.end());
    for (const gone_incarnation& one : restored.gone) {
        restored.gone_ids.insert(one.incarnation);
    }
    for (claim_record& record : taken->records) {
        if (!restored.insert_restored(std::move(record))) {
            return make_error(claim_errc::malformed_snapshot, "records contradict each other");
        }
    }
    *this = std::move(restored);
    return absl::OkStatus();
}

bool claim_table::insert_restored(claim_record taken)
{
    std::unique_ptr<claim_record> added = std::make_unique<claim_record>(std::move(taken));
    claim_record* const record = added.get();
    const claim_view view{record->id.account, record->id.key};
    if (record->state > claim_state::unknown || this->records.contains(view)) {
        return false;
    }
    bool unique = this->attempts.emplace(record->attempt, record).second;
    for (const attempt_id former : record->former) {
        unique = this->attempts.emplace(former, record).second && unique;
    }
    ++this->account_records[record->id.account];
    if (record->state == claim_state::running) {
        this->running.insert(record->attempt);
    }
    else {
        this->endings.insert(record);
    }
    if (record->state == claim_state::answered && record->body_kept) {
        this->bodies.insert(record);
        this->body_bytes += record->given.body.size();
    }
    this->records.emplace(view, std::move(added));
    return unique;
}

} // namespace redwingwheel::request
