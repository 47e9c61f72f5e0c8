#pragma once

#include "ChildProcess.h"

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace plantaindrift::test {

/// \brief The platform stand-in on a free loopback port, with its fault switches.
class PlatformProcess {
public:
    PlatformProcess()
        : process_({ std::string(PLANTAINDRIFT_BINARY_DIR) + "/bin/standin-platform", "--listen=127.0.0.1:0", "--lifetime_s=300" })
    {
        std::string const line = process_.readLine(std::chrono::seconds(30));
        std::string const prefix = "event=listening address=";
        if (!line.starts_with(prefix))
            throw std::runtime_error("the platform stand-in does not listen: " + line);
        url_ = "http://" + line.substr(prefix.size());
    }

    [[nodiscard]] std::string const& url() const noexcept { return url_; }

    void setFaults(nlohmann::json const& faults) { (void)exchange("/faults", faults.dump()); }

    [[nodiscard]] std::uint64_t count(std::string const& kind) { return nlohmann::json::parse(exchange("/counts", {})).at(kind).get<std::uint64_t>(); }

    void stop() { process_.stop(); }

private:
    static std::size_t append(char* data, std::size_t size, std::size_t count, void* user)
    {
        static_cast<std::string*>(user)->append(data, size * count);
        return size * count;
    }

    std::string exchange(std::string const& path, std::string const& body)
    {
        std::string answer;
        CURL* const handle = curl_easy_init();
        std::string const address = url_ + path;
        curl_easy_setopt(handle, CURLOPT_URL, address.c_str());
        curl_easy_setopt(handle, CURLOPT_PROXY, "");
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 30000L);
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, append);
        curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer);
        if (!body.empty())
            curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
        CURLcode const code = curl_easy_perform(handle);
        curl_easy_cleanup(handle);
        if (code != CURLE_OK)
            throw std::runtime_error("the platform stand-in does not answer");
        return answer;
    }

    ChildProcess process_;
    std::string url_;
};

} // namespace plantaindrift::test
