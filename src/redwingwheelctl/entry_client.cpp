#include "entry_client.h"

#include <memory>
#include <optional>

#include <curl/curl.h>
#include <fmt/format.h>

namespace redwingwheel::ctl {

namespace {

/// More than the largest body that an entry passes on; a runaway answer must not fill the memory.
constexpr std::size_t max_answer_bytes = std::size_t{64} << 20U;
constexpr int status_unavailable = 503;
/// An address that does not answer must not use up the time of the entries after it.
constexpr milliseconds connect_patience{2000};

struct handle_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};
using curl_handle = std::unique_ptr<CURL, handle_deleter>;

struct list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

/// The headers of one call, as libcurl takes them.
class header_list {
public:
    void add(const std::string& header)
    {
        curl_slist* const longer = curl_slist_append(this->list.get(), header.c_str());
        static_cast<void>(this->list.release());
        this->list.reset(longer);
    }
    [[nodiscard]] curl_slist* get() const { return this->list.get(); }

private:
    std::unique_ptr<curl_slist, list_deleter> list;
};

std::size_t store_body(const char* bytes, std::size_t size, std::size_t count, void* target)
{
    std::string& body = *static_cast<std::string*>(target);
    if (body.size() + size * count > max_answer_bytes) {
        return 0;
    }
    body.append(bytes, size * count);
    return size * count;
}

std::string header_of(CURL* handle, const char* name)
{
    curl_header* found = nullptr;
    if (curl_easy_header(handle, name, 0, CURLH_HEADER, -1, &found) != CURLHE_OK) {
        return "";
    }
    return found->value;
}

void set_options(CURL* handle, const std::string& url, const entry_call& call,
                 const header_list& headers, std::string& body, milliseconds time)
{
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call.method.c_str());
    if (call.method == "POST") {
        curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call.body.data());
        curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(call.body.size()));
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, store_body);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, &body);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, static_cast<long>(time.count()));
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(std::min(time, connect_patience).count()));
}

} // namespace

std::string_view error_layer(client_errc)
{
    return "client";
}

std::string_view error_name(client_errc code)
{
    return code == client_errc::not_reachable ? "not_reachable" : "answer_lost";
}

absl::StatusCode error_category(client_errc)
{
    return absl::StatusCode::kUnavailable;
}

entry_client::entry_client(std::vector<std::string> addresses, std::string_view access_token,
                           clock_function time_source)
    : entries(std::move(addresses)), token(access_token), clock(std::move(time_source))
{
}

absl::StatusOr<entry_reply> entry_client::send(const entry_call& call, steady_time deadline) const
{
    std::optional<absl::Status> lost;
    absl::Status last = make_error(client_errc::not_reachable, "no entry is named");
    std::optional<entry_reply> not_now;
    for (int pass = 0; pass < (lost.has_value() ? 2 : 1); ++pass) {
        for (const std::string& address : this->entries) {
            absl::StatusOr<entry_reply> reply = this->send_to(address, call, deadline);
            if (reply.ok() && (reply->status != status_unavailable || !call.next_entry_on_503)) {
                return reply;
            }
            if (reply.ok()) {
                not_now = *std::move(reply);
                continue;
            }
            last = reply.status();
            if (error_code<client_errc>(last) == client_errc::answer_lost) {
                lost = last;
            }
        }
    }
    if (not_now.has_value() && !lost.has_value()) {
        return *std::move(not_now);
    }
    return lost.value_or(last);
}

absl::StatusOr<entry_reply> entry_client::send_to(std::string_view address, const entry_call& call,
                                                  steady_time deadline) const
{
    const milliseconds time = remaining_until(deadline, this->clock());
    const std::string url = fmt::format("http://{}{}", address, call.path);
    if (time.count() == 0) {
        return make_error(client_errc::not_reachable, fmt::format("{}: no time left", address));
    }
    const curl_handle handle(curl_easy_init());
    header_list headers;
    headers.add("Expect:");
    if (!this->token.empty()) {
        headers.add(fmt::format("Authorization: Bearer {}", this->token));
    }
    if (call.method == "POST") {
        headers.add(fmt::format("Content-Type: {}", call.content_type));
    }
    for (const std::string& header : call.headers) {
        headers.add(header);
    }
    entry_reply reply;
    set_options(handle.get(), url, call, headers, reply.body, time);
    const CURLcode result = curl_easy_perform(handle.get());
    long sent_bytes = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_REQUEST_SIZE, &sent_bytes);
    if (result != CURLE_OK) {
        const client_errc code =
            sent_bytes == 0 ? client_errc::not_reachable : client_errc::answer_lost;
        return make_error(code, fmt::format("{}: {}", address, curl_easy_strerror(result)));
    }
    long status = 0;
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &status);
    reply.status = static_cast<int>(status);
    reply.content_type = header_of(handle.get(), "Content-Type");
    reply.outcome = header_of(handle.get(), "X-Outcome");
    reply.attempt = header_of(handle.get(), "X-Attempt");
    reply.worker = header_of(handle.get(), "X-Worker");
    return reply;
}

} // namespace redwingwheel::ctl
