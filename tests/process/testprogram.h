#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace mimosatally::test
{

/// \brief Upper bound of a wait, so that a test that hangs fails; no assertion depends on the value.
constexpr std::chrono::seconds HANG_TIMEOUT = std::chrono::seconds(60);

/// \brief Calls \a condition until it is true. \throws Error after HANG_TIMEOUT.
template<class Condition>
void waitUntil(const std::string &description, Condition condition)
{
    const auto deadline = std::chrono::steady_clock::now() + HANG_TIMEOUT;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            throw Error("timed out while waiting until " + description);
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

/// \brief Returns a loopback address with a port that is free now, for programs whose address is known before they start.
///
/// Its host belongs to this test process alone, and no address is returned twice: otherwise another program could take the port before it is
/// used.
inline std::string freeAddress()
{
    const auto process = static_cast<std::uint32_t>(getpid());
    constexpr std::uint32_t firstOwnHost = 0x7f010000;
    constexpr std::uint32_t hostMask = 0x3fffff;
    static std::set<std::string> returned;
    boost::asio::io_context io;
    std::string address;
    do {
        const boost::asio::ip::tcp::acceptor acceptor(io, {boost::asio::ip::address_v4(firstOwnHost + (process & hostMask)), 0});
        address = toString(acceptor.local_endpoint());
    } while (!returned.insert(address).second);
    return address;
}

/// \brief Child process of the test; the destructor kills it by its process id if it still runs.
class TestProgram
{
public:
    /// \param outputPath file that receives standard output and standard error.
    TestProgram(const std::string &path, std::vector<std::string> arguments, std::string outputPath)
        : outputPath_(std::move(outputPath))
    {
        arguments.insert(arguments.begin(), path);
        std::vector<char *> argv;
        for (std::string &argument : arguments) {
            argv.push_back(argument.data());
        }
        argv.push_back(nullptr);
        const int outputFile = open(outputPath_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
        id_ = fork();
        if (id_ == 0) {
            dup2(outputFile, STDOUT_FILENO);
            dup2(outputFile, STDERR_FILENO);
            execv(path.c_str(), argv.data());
            _exit(127);
        }
        close(outputFile);
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

    /// \brief Waits until the program ends. \return its exit code, or the negated number of the signal that ended it.
    int wait()
    {
        int status = 0;
        waitUntil("the program ended: " + outputPath_, [this, &status] {
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
        std::ifstream file(outputPath_);
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
        waitUntil(outputPath_ + " contains: " + text, [&] {
            return hasOutput(text);
        });
    }

    /// \brief Waits for the line `listening on IP:PORT`. \return the address.
    [[nodiscard]] std::string waitForAddress() const
    {
        const std::string marker = "listening on ";
        std::string address;
        waitUntil(outputPath_ + " shows an address", [&] {
            const std::string text = output();
            const auto start = text.find(marker);
            const auto end = start == std::string::npos ? start : text.find('\n', start);
            address = end == std::string::npos ? std::string() : text.substr(start + marker.size(), end - start - marker.size());
            return !address.empty();
        });
        return address;
    }

private:
    std::string outputPath_;
    pid_t id_ = -1;
};

} // namespace mimosatally::test
