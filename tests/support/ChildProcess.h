#pragma once

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace plantaindrift::test {

/// \brief A program started by a test; ended by its id when the object goes out of scope.
class ChildProcess {
public:
    explicit ChildProcess(std::vector<std::string> const& command)
    {
        std::array<int, 2> output {};
        std::array<int, 2> errors {};
        if (pipe(output.data()) != 0 || pipe(errors.data()) != 0)
            throw std::runtime_error("no pipe");
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_adddup2(&actions, output[1], STDOUT_FILENO);
        posix_spawn_file_actions_adddup2(&actions, errors[1], STDERR_FILENO);
        for (int const descriptor : { output[0], output[1], errors[0], errors[1] })
            posix_spawn_file_actions_addclose(&actions, descriptor);
        std::vector<char*> arguments;
        arguments.reserve(command.size() + 1);
        for (std::string const& argument : command)
            arguments.push_back(const_cast<char*>(argument.c_str()));
        arguments.push_back(nullptr);
        int const failed = posix_spawn(&id_, arguments[0], &actions, nullptr, arguments.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        close(output[1]);
        close(errors[1]);
        output_ = output[0];
        errors_ = errors[0];
        if (failed != 0) {
            id_ = 0;
            closePipes();
            throw std::runtime_error("cannot start " + command.front());
        }
    }

    ChildProcess(ChildProcess const&) = delete;
    ChildProcess& operator=(ChildProcess const&) = delete;

    ~ChildProcess()
    {
        stop();
        closePipes();
    }

    /// \brief Ends the process if it still runs.
    void stop()
    {
        if (id_ == 0)
            return;
        kill(id_, SIGTERM);
        constexpr int mostChecks = 200;
        for (int check = 0; check < mostChecks && !isEnded(); ++check)
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        if (id_ != 0) {
            kill(id_, SIGKILL);
            waitpid(id_, &status_, 0);
            id_ = 0;
        }
    }

    /// \brief Sends a signal to the process, if it still runs.
    void send(int number)
    {
        if (!isEnded())
            kill(id_, number);
    }

    [[nodiscard]] bool isRunning() { return !isEnded(); }

    /// \brief Next line of the standard output; empty after the timeout or at the end.
    std::string readLine(std::chrono::milliseconds timeout)
    {
        std::string line;
        pollfd waited { output_, POLLIN, 0 };
        char character = 0;
        while (poll(&waited, 1, static_cast<int>(timeout.count())) > 0 && read(output_, &character, 1) == 1 && character != '\n')
            line += character;
        return line;
    }

    struct Result {
        int exitCode { -1 };
        std::string output;
        std::string errors;
    };

    /// \brief Reads both outputs to their end and waits for the process; ends it after the timeout.
    Result finish(std::chrono::milliseconds timeout)
    {
        Result result;
        std::chrono::steady_clock::time_point const end = std::chrono::steady_clock::now() + timeout;
        std::array<pollfd, 2> waited { { { output_, POLLIN, 0 }, { errors_, POLLIN, 0 } } };
        while ((waited[0].fd >= 0 || waited[1].fd >= 0) && std::chrono::steady_clock::now() < end) {
            if (poll(waited.data(), waited.size(), 100) <= 0)
                continue;
            drain(waited[0], result.output);
            drain(waited[1], result.errors);
        }
        while (!isEnded() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        if (id_ == 0 && WIFEXITED(status_))
            result.exitCode = WEXITSTATUS(status_);
        return result;
    }

private:
    static void drain(pollfd& waited, std::string& text)
    {
        if (waited.revents == 0)
            return;
        std::array<char, 4096> buffer {};
        ssize_t const count = read(waited.fd, buffer.data(), buffer.size());
        if (count > 0)
            text.append(buffer.data(), static_cast<std::size_t>(count));
        else
            waited.fd = -1;
    }

    bool isEnded()
    {
        if (id_ != 0 && waitpid(id_, &status_, WNOHANG) == id_)
            id_ = 0;
        return id_ == 0;
    }

    void closePipes()
    {
        close(output_);
        close(errors_);
    }

    pid_t id_ { 0 };
    int output_ { -1 };
    int errors_ { -1 };
    int status_ { 0 };
};

} // namespace plantaindrift::test
