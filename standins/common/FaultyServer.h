#pragma once

#include "plantaindrift/base/Types.h"

#include <array>
#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <restinio/all.hpp>
#include <string>
#include <utility>
#include <vector>

namespace plantaindrift::standin {

/// \brief Faults that POST /faults switches; absent fields keep their value.
struct Faults {
    bool outage { false }; ///< every call is answered 503 and has no effect
    bool silent { false }; ///< every call stays open without answer and effect
    std::uint64_t slowMilliseconds { 0 }; ///< answers are delayed; effects are not
    std::uint64_t lostAnswers { 0 }; ///< the next N writes take effect and their connections close without an answer
};

/// \brief HTTP server of a stand-in whose answers can be withheld, refused, delayed and lost; runs on one thread.
class FaultyServer {
public:
    using Request = restinio::request_handle_t;
    /// \brief Takes every call but those to /faults.
    using Handler = std::function<void(Request const&, std::string const& path)>;

    struct Reply {
        std::uint16_t status { 200 };
        std::string body;
        std::uint64_t version { 0 }; ///< 0 means no ETag
        std::uint64_t era { 0 }; ///< 0 means no Store-Era
    };

    /// \param onListening  gets the bound port
    FaultyServer(asio::io_context& context, Endpoint listen, std::function<void(std::uint16_t)> onListening, Handler handler)
        : context_(context)
        , onListening_(std::move(onListening))
        , handler_(std::move(handler))
    {
        // Above the longest watch, so that a waiting watch is not cut off.
        constexpr std::chrono::seconds requestLimit { 90 };
        constexpr std::size_t longestValue = 1'048'576;
        constexpr std::size_t longestTarget = 4'096;
        server_ = std::make_unique<Server>(restinio::external_io_context(context_), [this, listen, requestLimit](restinio::server_settings_t<Traits>& settings) {
            settings.address(formatAddress(listen.address)).port(listen.port);
            settings.handle_request_timeout(requestLimit).read_next_http_message_timelimit(requestLimit);
            settings.incoming_http_msg_limits(restinio::incoming_http_msg_limits_t().max_url_size(longestTarget).max_body_size(longestValue));
            settings.acceptor_post_bind_hook([this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); });
            settings.request_handler([this](Request const& request) { return handle(request); });
        });
    }

    void start()
    {
        // The hook after bind runs before listen, when connections are still refused, so it only keeps the port.
        server_->open_async([this] { onListening_(port_); }, [](std::exception_ptr const& problem) { std::rethrow_exception(problem); });
    }

    /// \brief True if calls have no effect now.
    [[nodiscard]] bool isDown() const noexcept { return faults_.outage || faults_.silent; }

    /// \brief True if the answer to a write that took effect is to be lost; the connection closes when the request is released.
    [[nodiscard]] bool takeLostAnswer() noexcept
    {
        if (faults_.lostAnswers == 0)
            return false;
        --faults_.lostAnswers;
        return true;
    }

    /// \brief Answers as the faults allow.
    void answer(Request const& request, Reply reply)
    {
        if (faults_.silent) {
            silenced_.push_back(request);
            return;
        }
        if (faults_.outage)
            reply = { 503, "outage", 0, reply.era };
        if (faults_.slowMilliseconds == 0) {
            send(request, reply);
            return;
        }
        std::shared_ptr<asio::steady_timer> const timer = std::make_shared<asio::steady_timer>(context_, std::chrono::milliseconds(faults_.slowMilliseconds));
        timer->async_wait([timer, request, reply = std::move(reply)](asio::error_code const&) { send(request, reply); });
    }

    /// \brief Answers whatever the faults are.
    static void send(Request const& request, Reply const& reply)
    {
        restinio::response_builder_t<restinio::restinio_controlled_output_t> response = request->create_response(statusLine(reply.status));
        response.append_header(restinio::http_field::content_type, "application/json");
        if (reply.version != 0)
            response.append_header(restinio::http_field::etag, '"' + std::to_string(reply.version) + '"');
        if (reply.era != 0)
            response.append_header("Store-Era", std::to_string(reply.era));
        response.set_body(reply.body);
        response.done();
    }

    [[nodiscard]] static std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        std::from_chars_result const result = std::from_chars(text.data(), text.data() + text.size(), number);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size())
            return std::nullopt;
        return number;
    }

    /// \brief A parameter of the query; empty if it is absent.
    [[nodiscard]] static std::string parameterOf(Request const& request, char const* name)
    {
        restinio::query_string_params_t const parameters = restinio::parse_query<restinio::parse_query_traits::relaxed>(request->header().query());
        return parameters.has(name) ? std::string(parameters[name]) : std::string();
    }

private:
    using Traits = restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;
    using Server = restinio::http_server_t<Traits>;

    asio::io_context& context_;
    std::function<void(std::uint16_t)> onListening_;
    Handler handler_;
    std::uint16_t port_ { 0 };
    Faults faults_;
    std::vector<Request> silenced_; ///< calls that got no answer; held because a released request closes its connection
    std::unique_ptr<Server> server_;

    static restinio::http_status_line_t statusLine(std::uint16_t code)
    {
        static constexpr std::array<std::pair<std::uint16_t, char const*>, 11> texts { {
            { 200, "OK" },
            { 201, "Created" },
            { 204, "No Content" },
            { 400, "Bad Request" },
            { 404, "Not Found" },
            { 409, "Conflict" },
            { 410, "Gone" },
            { 412, "Precondition Failed" },
            { 413, "Payload Too Large" },
            { 428, "Precondition Required" },
            { 503, "Service Unavailable" },
        } };
        for (std::pair<std::uint16_t, char const*> const& status : texts) {
            if (status.first == code)
                return { restinio::http_status_code_t { code }, status.second };
        }
        return { restinio::http_status_code_t { code }, "Status" };
    }

    restinio::request_handling_status_t handle(Request const& request)
    {
        restinio::string_view_t const raw = request->header().path();
        std::string const path = restinio::utils::unescape_percent_encoding<restinio::utils::relaxed_unescape_traits>({ raw.data(), raw.size() });
        if (path == "/faults")
            handleFaults(request);
        else
            handler_(request, path);
        return restinio::request_accepted();
    }

    void handleFaults(Request const& request)
    {
        nlohmann::json const body = nlohmann::json::parse(request->body(), nullptr, false);
        if (request->header().method() == restinio::http_method_post()) {
            if (!body.is_object()) {
                send(request, { 400, "not a JSON object; send {\"outage\": false, \"silent\": false, \"slow_ms\": 0, \"lost_answers\": 0}", 0 });
                return;
            }
            try {
                faults_.outage = body.value("outage", faults_.outage);
                faults_.silent = body.value("silent", faults_.silent);
                if (!faults_.silent)
                    silenced_.clear();
                faults_.slowMilliseconds = body.value("slow_ms", faults_.slowMilliseconds);
                faults_.lostAnswers = body.value("lost_answers", faults_.lostAnswers);
            } catch (nlohmann::json::exception const&) {
                send(request, { 400, "wrong type; outage and silent are booleans, slow_ms and lost_answers are numbers", 0 });
                return;
            }
        }
        nlohmann::json const state { { "outage", faults_.outage }, { "silent", faults_.silent }, { "slow_ms", faults_.slowMilliseconds }, { "lost_answers", faults_.lostAnswers } };
        send(request, { 200, state.dump(), 0 });
    }
};

} // namespace plantaindrift::standin
