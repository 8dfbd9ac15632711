#include "trace.h"

#include <algorithm>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include "trace_fields.h"

namespace redwingwheel::replay {

namespace {

using placement::cell_level;
using placement::job_priority;

constexpr std::uint64_t max_repeats = 100000;

const std::vector<std::string> level_names = {"accelerator", "group", "host", "rack",
                                              "data_centre"};
const std::vector<std::string> priority_names = {"urgent", "normal", "low"};

std::size_t position_of(const std::vector<std::string>& names, const std::string& name)
{
    return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

/// Reads line by line and checks each name against the lines before it.
class trace_reader {
public:
    trace_reader(std::string path, std::optional<std::uint64_t> seed)
        : file(std::move(path)), chosen_seed(seed)
    {
    }

    absl::StatusOr<trace> read(std::string_view text)
    {
        std::size_t number = 0;
        try {
            while (!text.empty()) {
                ++number;
                const std::size_t end = std::min(text.find('\n'), text.size());
                const std::string_view line = text.substr(0, end);
                text.remove_prefix(std::min(end + 1, text.size()));
                if (line.find_first_not_of(" \t\r") != std::string_view::npos) {
                    this->read_line(number, line);
                }
            }
            if (!this->has_header) {
                ++number;
                throw bad_field("type", "missing", "a first line of type trace");
            }
        }
        catch (const bad_field& error) {
            return absl::InvalidArgumentError(
                fmt::format("{}:{}: {}", this->file, number, error.what()));
        }
        std::stable_sort(
            this->result.events.begin(), this->result.events.end(),
            [](const trace_event& left, const trace_event& right) { return left.at < right.at; });
        return std::move(this->result);
    }

private:
    void read_line(std::size_t number, std::string_view text)
    {
        static const std::vector<std::string> types = {"trace",
                                                       "worker",
                                                       "account",
                                                       "guarantee",
                                                       "guarantee_withdrawn",
                                                       "job",
                                                       "cancel",
                                                       "worker_lost",
                                                       "worker_returned",
                                                       "straggler",
                                                       "data_centre_withdrawn",
                                                       "data_centre_returned",
                                                       "expect"};
        trace_fields fields(text);
        const std::string type = fields.one_of("type", types, "");
        if (!this->has_header && type != "trace") {
            throw bad_field("type", type, "trace on the first line");
        }
        if (type == "trace") {
            this->read_header(fields);
        }
        else if (type == "account") {
            this->accounts.insert(fields.text("name"));
        }
        else if (type == "job") {
            this->read_job(fields);
        }
        else if (type == "expect") {
            this->read_expectation(number, fields);
        }
        else {
            this->read_event(type, fields);
        }
        fields.reject_unknown();
    }

    void read_header(trace_fields& fields)
    {
        if (this->has_header) {
            throw bad_field("type", "trace", "one line of type trace only");
        }
        this->has_header = true;
        static_cast<void>(fields.number("version", 1, 1));
        this->result.name = fields.text("name");
        this->result.seed = fields.number_or("seed", 0, UINT64_MAX, 1);
        this->result.seed = this->chosen_seed.value_or(this->result.seed);
        this->result.end = fields.time("end_ms");
        this->random.seed(this->result.seed);
    }

    std::string known(trace_fields& fields, std::string_view field,
                      const std::set<std::string, std::less<>>& names, std::string_view what) const
    {
        const std::string name = fields.text(field);
        if (!names.contains(name)) {
            throw bad_field(field, name, fmt::format("a {} of an earlier line", what));
        }
        return name;
    }

    static void remember(std::set<std::string, std::less<>>& names, std::string_view field,
                         const std::string& name)
    {
        if (!names.insert(name).second) {
            throw bad_field(field, name, "a name that no earlier line has");
        }
    }

    void read_event(const std::string& type, trace_fields& fields)
    {
        trace_event event;
        if (type == "worker") {
            event.kind = event_kind::worker_added;
            event.at = fields.time_or("at_ms", milliseconds(0));
            event.worker = this->read_worker(fields);
            event.name = event.worker.name;
        }
        else if (type == "guarantee") {
            event.kind = event_kind::guarantee_added;
            event.at = fields.time_or("at_ms", milliseconds(0));
            event.terms = this->read_guarantee(fields);
            event.name = event.terms.agreement;
        }
        else if (type == "guarantee_withdrawn") {
            event.kind = event_kind::guarantee_withdrawn;
            event.at = fields.time("at_ms");
            event.name = this->known(fields, "agreement", this->agreements, "guarantee");
        }
        else if (type == "cancel") {
            event.kind = event_kind::job_cancelled;
            event.at = fields.time("at_ms");
            event.name = this->known(fields, "job", this->cancellable, "job");
        }
        else if (type == "straggler") {
            this->read_straggler(fields, event);
        }
        else if (type == "worker_lost" || type == "worker_returned") {
            event.kind =
                type == "worker_lost" ? event_kind::worker_lost : event_kind::worker_returned;
            event.at = fields.time("at_ms");
            event.name = this->known(fields, "worker", this->workers, "worker");
        }
        else {
            event.kind = type == "data_centre_withdrawn" ? event_kind::data_centre_withdrawn
                                                         : event_kind::data_centre_returned;
            event.at = fields.time("at_ms");
            event.name = this->known(fields, "data_centre", this->data_centres, "data centre");
        }
        this->result.events.push_back(std::move(event));
    }

    placement::worker_spec read_worker(trace_fields& fields)
    {
        placement::worker_spec worker;
        worker.name = fields.text("name");
        remember(this->workers, "name", worker.name);
        worker.data_centre = fields.text("data_centre");
        this->data_centres.insert(worker.data_centre);
        worker.rack = fields.text("rack");
        worker.accelerators = static_cast<std::uint32_t>(fields.number("accelerators", 1, 64));
        worker.accelerators_per_group = static_cast<std::uint32_t>(
            fields.number_or("accelerators_per_group", 1, 64, worker.accelerators));
        if (worker.accelerators % worker.accelerators_per_group != 0) {
            throw bad_field("accelerators_per_group", std::to_string(worker.accelerators_per_group),
                            "a divisor of accelerators");
        }
        return worker;
    }

    placement::guarantee read_guarantee(trace_fields& fields)
    {
        placement::guarantee terms;
        terms.agreement = fields.text("agreement");
        this->agreements.insert(terms.agreement);
        terms.account = this->known(fields, "account", this->accounts, "account");
        terms.level = static_cast<cell_level>(
            position_of(level_names, fields.one_of("level", level_names, "")));
        terms.count = static_cast<std::uint32_t>(fields.number("count", 1, 10000));
        if (fields.has("data_centre")) {
            terms.data_centre =
                this->known(fields, "data_centre", this->data_centres, "data centre");
        }
        return terms;
    }

    void read_straggler(trace_fields& fields, trace_event& event)
    {
        event.kind = event_kind::straggler_begins;
        event.at = fields.time("at_ms");
        event.name = this->known(fields, "worker", this->workers, "worker");
        event.fails = fields.one_of("mode", {"fails", "slow"}, "") == "fails";
        if (event.fails) {
            event.fail_after = fields.time_or("fail_after_ms", milliseconds(200));
        }
        else {
            event.slowdown = fields.real("factor", 1, 1000);
        }
        if (fields.has("until_ms")) {
            trace_event end;
            end.kind = event_kind::straggler_ends;
            end.name = event.name;
            end.at = fields.time("until_ms");
            if (end.at < event.at) {
                throw bad_field("until_ms", std::to_string(end.at.count()), "at_ms or later");
            }
            this->result.events.push_back(std::move(end));
        }
    }

    void read_job(trace_fields& fields)
    {
        trace_event event;
        event.kind = event_kind::job_arrives;
        event.at = fields.time("at_ms");
        traced_job& job = event.job;
        placement::job_spec& spec = job.spec;
        spec.id = fields.text("id");
        spec.account = this->known(fields, "account", this->accounts, "account");
        spec.service = fields.text("service");
        job.job_class = fields.text_or("class", spec.service);
        spec.members = static_cast<std::uint32_t>(
            fields.number_or("members", 1, placement::max_gang_members, 1));
        spec.accelerators_per_member =
            static_cast<std::uint32_t>(fields.number_or("accelerators_per_member", 1, 64, 1));
        job.true_accelerators_per_member = static_cast<std::uint32_t>(
            fields.number_or("true_accelerators_per_member", 1, 64, spec.accelerators_per_member));
        spec.adjacency = static_cast<cell_level>(
            position_of(level_names, fields.one_of("adjacency", level_names, "data_centre")));
        spec.priority = static_cast<job_priority>(
            position_of(priority_names, fields.one_of("priority", priority_names, "normal")));
        spec.idempotent = fields.flag_or("idempotent", false);
        spec.can_checkpoint = fields.flag_or("can_checkpoint", false);
        job.always_fails = fields.flag_or("always_fails", false);
        job.true_run_time = fields.time("true_run_time_ms");
        spec.declared_run_time = fields.time_or("declared_run_time_ms", job.true_run_time);
        const std::uint64_t count = fields.number_or("count", 1, max_repeats, 1);
        const milliseconds every = fields.time_or("every_ms", milliseconds(0));
        const std::uint64_t spread = fields.number_or("spread_percent", 0, 90, 0);
        this->repeat(event, count, every, spread, fields.has("count"));
    }

    void repeat(const trace_event& event, std::uint64_t count, milliseconds every,
                std::uint64_t spread, bool numbered)
    {
        if (numbered) {
            this->cancellable.insert(event.job.spec.id);
        }
        for (std::uint64_t number = 0; number < count; ++number) {
            trace_event one = event;
            one.at += every * static_cast<std::int64_t>(number);
            if (numbered) {
                one.job.spec.id = fmt::format("{}-{:05}", event.job.spec.id, number);
            }
            if (spread > 0) {
                const std::int64_t percent =
                    100 - static_cast<std::int64_t>(spread) +
                    static_cast<std::int64_t>(this->random() % (2 * spread + 1));
                one.job.true_run_time = event.job.true_run_time * percent / 100;
            }
            one.name = one.job.spec.id;
            remember(this->jobs, "id", one.name);
            this->cancellable.insert(one.name);
            this->classes.insert(one.job.job_class);
            this->result.events.push_back(std::move(one));
        }
    }

    void read_expectation(std::size_t number, trace_fields& fields)
    {
        static const std::vector<std::string> kinds = {
            "starts_by",         "never_starts", "refused",         "finishes_by",
            "whole_gangs",       "at_most_once", "reclaim",         "guarantees_kept",
            "completion",        "wait",         "fragmentation",   "useful_work",
            "nothing_starts_in", "quarantined",  "not_quarantined", "guarantee_whole"};
        expectation wanted;
        wanted.line = number;
        wanted.kind = fields.one_of("outcome", kinds, "");
        const std::string& kind = wanted.kind;
        if (kind == "starts_by" || kind == "never_starts" || kind == "refused" ||
            kind == "finishes_by") {
            wanted.job = this->known(fields, "job", this->cancellable, "job");
        }
        if (kind == "starts_by" || kind == "finishes_by") {
            wanted.by = fields.time("by_ms");
        }
        if (kind == "reclaim" || kind == "guarantees_kept") {
            wanted.bound = fields.time("bound_ms");
        }
        if (kind == "completion" || kind == "wait") {
            wanted.job_class = this->known(fields, "class", this->classes, "class");
            this->read_limits(fields, wanted);
        }
        if (kind == "fragmentation" || kind == "useful_work") {
            wanted.share = fields.real("share", 0, 1);
        }
        if (kind == "useful_work" || kind == "nothing_starts_in") {
            wanted.from = fields.time("from_ms");
            wanted.to = fields.time("to_ms");
            if (*wanted.to <= *wanted.from) {
                throw bad_field("to_ms", std::to_string(wanted.to->count()), "more than from_ms");
            }
        }
        if (kind == "nothing_starts_in") {
            wanted.name = this->known(fields, "data_centre", this->data_centres, "data centre");
        }
        if (kind == "quarantined" || kind == "not_quarantined") {
            wanted.name = this->known(fields, "worker", this->workers, "worker");
        }
        if (kind == "guarantee_whole") {
            wanted.name = this->known(fields, "agreement", this->agreements, "guarantee");
            wanted.by = fields.time("by_ms");
        }
        this->result.expectations.push_back(std::move(wanted));
    }

    static void read_limits(trace_fields& fields, expectation& wanted)
    {
        if (fields.has("mean_ms")) {
            wanted.mean = fields.time("mean_ms");
        }
        if (fields.has("p99_ms")) {
            wanted.p99 = fields.time("p99_ms");
        }
        if (!wanted.mean.has_value() && !wanted.p99.has_value()) {
            throw bad_field("mean_ms", "missing", "mean_ms, p99_ms or both");
        }
    }

    std::string file;
    std::optional<std::uint64_t> chosen_seed;
    bool has_header = false;
    trace result;
    std::mt19937_64 random;
    std::set<std::string, std::less<>> workers;
    std::set<std::string, std::less<>> data_centres;
    std::set<std::string, std::less<>> accounts;
    std::set<std::string, std::less<>> agreements;
    std::set<std::string, std::less<>> jobs;
    std::set<std::string, std::less<>> cancellable; ///< Jobs, and series of jobs.
    std::set<std::string, std::less<>> classes;
};

} // namespace

absl::StatusOr<trace> parse_trace(std::string_view text, const std::string& path,
                                  std::optional<std::uint64_t> seed)
{
    return trace_reader(path, seed).read(text);
}

absl::StatusOr<trace> read_trace(const std::string& path, std::optional<std::uint64_t> seed)
{
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) {
        return absl::InvalidArgumentError(
            fmt::format("{}:0: file: cannot be read; allowed: a trace file", path));
    }
    return parse_trace(text.str(), path, seed);
}

} // namespace redwingwheel::replay
