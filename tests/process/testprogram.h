#pragma once

#include <mimosatally/Core>

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace mimosatally::test
{

/// \brief Ends a test that hangs; no verdict depends on it.
constexpr std::chrono::seconds HANG_LIMIT = std::chrono::seconds(60);

/// \brief Calls \a condition until it is true. \throws Error after HANG_LIMIT.
template<class Condition>
void waitUntil(const std::string &what, Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + HANG_LIMIT;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            throw Error("waited too long until " + what);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

/// \brief A program that the test started; killed by its id when the object ends.
class TestProgram
{
public:
    /// \param output file that gets standard output and standard error.
    TestProgram(const std::string &path, std::vector<std::string> arguments, std::string output)
        : output_(std::move(output))
    {
        arguments.insert(arguments.begin(), path);
        std::vector<char *> argv;
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        const int file = open(output_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
        id_ = fork();
        if (id_ == 0) {
            dup2(file, STDOUT_FILENO);
            dup2(file, STDERR_FILENO);
            execv(path.c_str(), argv.data());
            _exit(127);
        }
        close(file);
    }

    ~TestProgram()
    {
        if (id_ > 0) {
            send(SIGKILL);
            wait();
        }
    }

    TestProgram(const TestProgram &) = delete;
    TestProgram &operator=(const TestProgram &) = delete;

    void send(int signal) const
    {
        if (id_ > 0) {
            kill(id_, signal);
        }
    }

    /// \brief Waits for the end. \return the exit code, or minus the signal that ended the program.
    int wait()
    {
        int status = 0;
        waitUntil("the program ended: " + output_, [this, &status] {
            return waitpid(id_, &status, WNOHANG) == id_;
        });
        id_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }

    /// \brief Process id; -1 after wait().
    [[nodiscard]] pid_t id() const
    {
        return id_;
    }

    [[nodiscard]] std::string output() const
    {
        std::ifstream file(output_);
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    [[nodiscard]] bool hasOutput(const std::string &text) const
    {
        return output().find(text) != std::string::npos;
    }

    void waitForOutput(const std::string &text) const
    {
        waitUntil(output_ + " has: " + text, [&] {
            return hasOutput(text);
        });
    }

    /// \brief Waits for the line `listening on IP:PORT`. \return the address.
    [[nodiscard]] std::string waitForAddress() const
    {
        const std::string marker = "listening on ";
        std::string address;
        waitUntil(output_ + " shows an address", [&] {
            const std::string text = output();
            const auto start = text.find(marker);
            const auto end = start == std::string::npos ? start : text.find('\n', start);
            address = end == std::string::npos ? std::string() : text.substr(start + marker.size(), end - start - marker.size());
            return !address.empty();
        });
        return address;
    }

private:
    std::string output_;
    pid_t id_ = -1;
};

} // namespace mimosatally::test
