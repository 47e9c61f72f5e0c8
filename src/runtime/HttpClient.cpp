#include "plantaindrift/runtime/HttpClient.h"

#include "plantaindrift/base/Error.h"

#include <curl/curl.h>
#include <memory>

namespace plantaindrift {

namespace {

    std::size_t appendBody(char* bytes, std::size_t size, std::size_t count, void* output)
    {
        static_cast<std::string*>(output)->append(bytes, size * count);
        return size * count;
    }

} // namespace

absl::StatusOr<HttpResult> sendHttp(std::string const& method, std::string const& url, std::string const& body, std::chrono::milliseconds timeout)
{
    static CURLcode const initialized = curl_global_init(CURL_GLOBAL_DEFAULT);
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> const handle(curl_easy_init(), &curl_easy_cleanup);
    if (initialized != CURLE_OK || handle == nullptr)
        return makeError(ErrorKind::Internal, "libcurl cannot be initialized; check the installation");
    HttpResult result;
    curl_easy_setopt(handle.get(), CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle.get(), CURLOPT_CUSTOMREQUEST, method.c_str());
    // Signals for timeouts are unsafe in a process with threads.
    curl_easy_setopt(handle.get(), CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle.get(), CURLOPT_NOPROXY, "*");
    curl_easy_setopt(handle.get(), CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(handle.get(), CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(handle.get(), CURLOPT_WRITEDATA, &result.body);
    if (method != "GET") {
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDS, body.c_str());
        curl_easy_setopt(handle.get(), CURLOPT_POSTFIELDSIZE, static_cast<long>(body.size()));
    }
    CURLcode const code = curl_easy_perform(handle.get());
    if (code == CURLE_OPERATION_TIMEDOUT)
        return makeError(ErrorKind::DeadlinePassed, url + " did not answer in time; check that the process runs and is not overloaded");
    if (code != CURLE_OK)
        return makeError(ErrorKind::Refused, url + ": " + curl_easy_strerror(code) + "; check the address and that the process runs");
    curl_easy_getinfo(handle.get(), CURLINFO_RESPONSE_CODE, &result.status);
    return result;
}

} // namespace plantaindrift
