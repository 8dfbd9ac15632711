#include "redwingwheel/http_client.h"

#include <algorithm>
#include <atomic>
#include <cctype>
#include <cerrno>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <curl/curl.h>

namespace redwingwheel::http {

namespace {

constexpr int poll_timeout_ms = 1000;

/// A request from send() until its response_function is called.
struct transfer {
    std::uint64_t number = 0;
    client_request request;
    response_function done;
    std::size_t sent_bytes = 0; ///< Of the body, if the request is sent once.
    client_response response;
    std::size_t max_response_bytes = 0;
    bool too_large = false;
    curl_slist* headers = nullptr;
    CURL* handle = nullptr;

    transfer() = default;
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;
    ~transfer()
    {
        curl_slist_free_all(this->headers);
        if (this->handle != nullptr) {
            curl_easy_cleanup(this->handle);
        }
    }
};

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* user)
{
    transfer& target = *static_cast<transfer*>(user);
    const std::size_t bytes = size * count;
    if (target.response.body.size() + bytes > target.max_response_bytes) {
        target.too_large = true;
        return 0;
    }
    target.response.body.append(data, bytes);
    return bytes;
}

/// Hands the body to libcurl, which cannot read it a second time.
std::size_t read_body_once(char* buffer, std::size_t size, std::size_t count, void* user)
{
    transfer& source = *static_cast<transfer*>(user);
    const std::size_t copied = source.request.body.copy(buffer, size * count, source.sent_bytes);
    source.sent_bytes += copied;
    return copied;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* user)
{
    transfer& target = *static_cast<transfer*>(user);
    const std::string_view line(data, size * count);
    const std::size_t colon = line.find(':');
    if (colon != std::string_view::npos) {
        std::string name(line.substr(0, colon));
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) {
            return static_cast<char>(std::tolower(letter));
        });
        const std::size_t begin = line.find_first_not_of(" \t", colon + 1);
        const std::size_t end = line.find_last_not_of(" \t\r\n");
        if (begin != std::string_view::npos && end >= begin) {
            target.response.headers[name] = line.substr(begin, end - begin + 1);
        }
    }
    return size * count;
}

/// Copies status and content type from the libcurl handle of a completed transfer.
void read_response_info(transfer& ended)
{
    long status = 0;
    curl_easy_getinfo(ended.handle, CURLINFO_RESPONSE_CODE, &status);
    ended.response.status = static_cast<int>(status);
    const char* content_type = nullptr;
    curl_easy_getinfo(ended.handle, CURLINFO_CONTENT_TYPE, &content_type);
    if (content_type != nullptr) {
        ended.response.content_type = content_type;
    }
}

/// Returns the error of a transfer that ended with `code`, which is not CURLE_OK.
absl::Status transfer_error(const transfer& ended, CURLcode code)
{
    if (ended.too_large) {
        return make_error(http_errc::response_too_large, ended.request.url);
    }
    if (code == CURLE_PARTIAL_FILE) {
        return make_error(http_errc::incomplete_response, curl_easy_strerror(code));
    }
    // The pretransfer time is 0 until a connection has been established; then nothing was sent.
    curl_off_t pretransfer_us = 0;
    curl_easy_getinfo(ended.handle, CURLINFO_PRETRANSFER_TIME_T, &pretransfer_us);
    const bool connected = pretransfer_us > 0;
    long system_error = 0;
    curl_easy_getinfo(ended.handle, CURLINFO_OS_ERRNO, &system_error);
    if (code == CURLE_COULDNT_CONNECT && system_error == ECONNREFUSED) {
        return make_error(http_errc::connection_refused, curl_easy_strerror(code));
    }
    if (code == CURLE_COULDNT_CONNECT || !connected) {
        return make_error(http_errc::not_connected, curl_easy_strerror(code));
    }
    return make_error(http_errc::lost_after_send, curl_easy_strerror(code));
}

/// Creates the libcurl handle of a transfer and sets its options.
void create_handle(transfer& created)
{
    created.handle = curl_easy_init();
    const client_request& request = created.request;
    curl_easy_setopt(created.handle, CURLOPT_URL, request.url.c_str());
    curl_easy_setopt(created.handle, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    if (request.method != "GET") {
        curl_easy_setopt(created.handle, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(request.body.size()));
        if (request.send_once) {
            curl_easy_setopt(created.handle, CURLOPT_POST, 1L);
            curl_easy_setopt(created.handle, CURLOPT_READFUNCTION, read_body_once);
            curl_easy_setopt(created.handle, CURLOPT_READDATA, &created);
        }
        else {
            curl_easy_setopt(created.handle, CURLOPT_POSTFIELDS, request.body.c_str());
        }
    }
    for (const auto& [name, value] : request.headers) {
        created.headers = curl_slist_append(created.headers, (name + ": " + value).c_str());
    }
    // Disables "Expect: 100-continue", which costs a round trip before larger bodies.
    created.headers = curl_slist_append(created.headers, "Expect:");
    curl_easy_setopt(created.handle, CURLOPT_HTTPHEADER, created.headers);
    curl_easy_setopt(created.handle, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(created.handle, CURLOPT_WRITEDATA, &created);
    curl_easy_setopt(created.handle, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(created.handle, CURLOPT_HEADERDATA, &created);
    curl_easy_setopt(created.handle, CURLOPT_PRIVATE, &created);
    curl_easy_setopt(created.handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(created.handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(created.handle, CURLOPT_TCP_NODELAY, 1L);
    if (request.at_most_once) {
        // libcurl sends a request again when a reused connection turns out to be closed.
        curl_easy_setopt(created.handle, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(created.handle, CURLOPT_FORBID_REUSE, 1L);
    }
    const milliseconds remaining = remaining_until(request.deadline, boot_clock::now());
    curl_easy_setopt(created.handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(std::max<std::int64_t>(remaining.count(), 1)));
}

} // namespace

struct client::implementation {
    client_options options;
    CURLM* multi = nullptr;
    std::thread thread;
    std::mutex lock;
    bool stopping = false;
    std::vector<std::unique_ptr<transfer>> submitted;
    std::vector<std::uint64_t> cancelled;
    std::atomic<std::uint64_t> next_number{1};
    // Transfers in progress by number; used by the client's thread only.
    std::map<std::uint64_t, std::unique_ptr<transfer>> running;

    void run();
    /// Starts submitted transfers and carries out cancellations; false when the client is being
    /// destroyed.
    bool process_submissions();
    void finish_completed();
    void cancel_transfer(std::uint64_t number);
    void finish(transfer& ended, absl::StatusOr<client_response> result);
};

bool client::implementation::process_submissions()
{
    std::vector<std::unique_ptr<transfer>> to_start;
    std::vector<std::uint64_t> to_cancel;
    {
        const std::lock_guard<std::mutex> guard(this->lock);
        if (this->stopping) {
            return false;
        }
        to_start.swap(this->submitted);
        to_cancel.swap(this->cancelled);
    }
    for (std::unique_ptr<transfer>& each : to_start) {
        create_handle(*each);
        curl_multi_add_handle(this->multi, each->handle);
        this->running.emplace(each->number, std::move(each));
    }
    for (const std::uint64_t number : to_cancel) {
        this->cancel_transfer(number);
    }
    return true;
}

void client::implementation::cancel_transfer(std::uint64_t number)
{
    const auto found = this->running.find(number);
    if (found != this->running.end()) {
        this->finish(*found->second, transfer_error(*found->second, CURLE_ABORTED_BY_CALLBACK));
    }
}

void client::implementation::finish(transfer& ended, absl::StatusOr<client_response> result)
{
    const auto found = this->running.find(ended.number);
    const std::unique_ptr<transfer> owned = std::move(found->second);
    this->running.erase(found);
    curl_multi_remove_handle(this->multi, owned->handle);
    owned->done(std::move(result));
}

void client::implementation::finish_completed()
{
    int messages_left = 0;
    while (const CURLMsg* message = curl_multi_info_read(this->multi, &messages_left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        char* user = nullptr;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
        transfer& ended = *reinterpret_cast<transfer*>(user);
        const CURLcode code = message->data.result;
        if (code == CURLE_OK) {
            read_response_info(ended);
            this->finish(ended, std::move(ended.response));
        }
        else {
            this->finish(ended, transfer_error(ended, code));
        }
    }
}

void client::implementation::run()
{
    while (this->process_submissions()) {
        int running_count = 0;
        curl_multi_perform(this->multi, &running_count);
        this->finish_completed();
        curl_multi_poll(this->multi, nullptr, 0, poll_timeout_ms, nullptr);
    }
    while (!this->running.empty()) {
        this->cancel_transfer(this->running.begin()->first);
    }
}

client::client(const client_options& options) : impl(std::make_unique<implementation>())
{
    static const CURLcode initialised = curl_global_init(CURL_GLOBAL_DEFAULT);
    static_cast<void>(initialised);
    this->impl->options = options;
    this->impl->multi = curl_multi_init();
    curl_multi_setopt(this->impl->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                      options.max_connections_per_host);
    this->impl->thread = std::thread([this] { this->impl->run(); });
}

client::~client()
{
    {
        const std::lock_guard<std::mutex> guard(this->impl->lock);
        this->impl->stopping = true;
    }
    curl_multi_wakeup(this->impl->multi);
    this->impl->thread.join();
    curl_multi_cleanup(this->impl->multi);
}

std::uint64_t client::send(client_request request, response_function done)
{
    std::unique_ptr<transfer> added = std::make_unique<transfer>();
    added->number = this->impl->next_number++;
    added->request = std::move(request);
    added->done = std::move(done);
    added->max_response_bytes = this->impl->options.max_response_bytes;
    const std::uint64_t number = added->number;
    {
        const std::lock_guard<std::mutex> guard(this->impl->lock);
        this->impl->submitted.push_back(std::move(added));
    }
    curl_multi_wakeup(this->impl->multi);
    return number;
}

void client::cancel(std::uint64_t request)
{
    {
        const std::lock_guard<std::mutex> guard(this->impl->lock);
        this->impl->cancelled.push_back(request);
    }
    curl_multi_wakeup(this->impl->multi);
}

} // namespace redwingwheel::http
