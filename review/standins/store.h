#pragma once

#include "net.h"

#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review
{

/// \brief Stand-in for the platform's store: the keyed topics `keyed.op` and `keyed.servers`, and one group whose only partition is assigned to the member that
/// joined first, until it has sent nothing for its time to live.
class StoreStandin
{
public:
    explicit StoreStandin(const std::string &host)
        : listener_(Address {host, 0})
        , address_ {host, listener_.port()}
    {
        std::thread([this] {
            listener_.serve([this](Connection &connection) {
                serve(connection);
            });
        }).detach();
    }

    [[nodiscard]] const Address &address() const
    {
        return address_;
    }

    /// \brief Appends a record; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(mutex_);
        topics_[topic].emplace_back(key, value);
    }

private:
    using Records = std::vector<std::pair<std::string, std::string>>;

    void serve(Connection &connection)
    {
        for (;;) {
            const std::optional<HttpHead> head = connection.readHead(Milliseconds(600'000));
            if (!head) {
                return;
            }
            const std::size_t length = std::strtoul(head->field("content-length").c_str(), nullptr, 10);
            const std::optional<std::string> body = connection.readBytes(length, Milliseconds(10'000));
            if (!body) {
                return;
            }
            const std::string target = head->word(1);
            std::string type = "application/json";
            std::string answer = "{}";
            int status = 200;
            pauseFor(Milliseconds(4));
            if (target.starts_with("/-/log-newest")) {
                answer = newest(parameter(target, "topic"));
            } else if (target.starts_with("/-/log-read")) {
                type = "application/octet-stream";
                answer = read(target);
            } else if (target.starts_with("/-/log-join")) {
                answer = join(*body);
            } else {
                status = 404;
            }
            std::string response = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: ";
            response += type;
            response += "\r\nContent-Length: ";
            response += std::to_string(answer.size());
            response += "\r\n\r\n";
            response += answer;
            const bool sent = connection.send(response);
            if (!sent) {
                return;
            }
        }
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const std::size_t found = target.find(name + '=');
        if (found == std::string::npos) {
            return {};
        }
        const std::size_t begin = found + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }

    static std::string jsonText(const std::string &body, const std::string &name)
    {
        const std::string mark = '"' + name + "\":\"";
        const std::size_t found = body.find(mark);
        if (found == std::string::npos) {
            return {};
        }
        const std::size_t begin = found + mark.size();
        return body.substr(begin, body.find('"', begin) - begin);
    }

    static std::string base64(const std::string &bytes)
    {
        static const char *const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string result;
        for (std::size_t i = 0; i < bytes.size(); i += 3) {
            std::uint32_t group = 0;
            for (std::size_t j = 0; j < 3; ++j) {
                group = (group << 8U) | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
            }
            for (std::size_t j = 0; j < 4; ++j) {
                result += i + j <= bytes.size() ? digits[(group >> (18U - 6U * j)) & 63U] : '=';
            }
        }
        return result;
    }

    static void appendNumber(std::string &out, std::uint64_t number, int bytes)
    {
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
            out += static_cast<char>((number >> static_cast<unsigned>(shift)) & 255U);
        }
    }

    std::string newest(const std::string &topic)
    {
        const std::lock_guard lock(mutex_);
        const Records &records = topics_[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t i = 0; i < records.size(); ++i) {
            last[records[i].first] = i;
        }
        std::string items;
        for (const auto &[key, offset] : last) {
            if (!records[offset].second.empty()) {
                items += (items.empty() ? "" : ",") + std::string(R"({"key":")") + key + R"(","value":")" + base64(records[offset].second) + R"(","offset":)"
                         + std::to_string(offset) + "}";
            }
        }
        return R"({"items":[)" + items + R"(],"hasMore":false,"endOffset":)" + std::to_string(records.size()) + "}";
    }

    std::string read(const std::string &target)
    {
        const std::string topic = parameter(target, "topic");
        const std::size_t from = std::strtoul(parameter(target, "from").c_str(), nullptr, 10);
        const std::int64_t end = nowMs() + std::strtol(parameter(target, "waitMs").c_str(), nullptr, 10);
        for (;;) {
            {
                const std::lock_guard lock(mutex_);
                const Records &records = topics_[topic];
                if (records.size() > from || nowMs() >= end) {
                    std::string body;
                    appendNumber(body, records.size(), 8);
                    appendNumber(body, 0, 8);
                    for (std::size_t i = from; i < records.size(); ++i) {
                        appendNumber(body, 1 + records[i].first.size() + records[i].second.size(), 4);
                        body += static_cast<char>(records[i].first.size());
                        body += records[i].first + records[i].second;
                    }
                    return body;
                }
            }
            pauseFor(Milliseconds(10));
        }
    }

    std::string join(const std::string &body)
    {
        const std::lock_guard lock(mutex_);
        const std::string member = jsonText(body, "member");
        constexpr std::int64_t timeToLiveMs = 3000;
        if (holder_.empty() || nowMs() - holderSeenAt_ >= timeToLiveMs) {
            holder_ = member;
            ++generation_;
        }
        const bool holds = holder_ == member;
        holderSeenAt_ = holds ? nowMs() : holderSeenAt_;
        return R"({"generation":)" + std::to_string(generation_) + R"(,"parts":[)" + (holds ? R"(["orders",0,0])" : "") + "]}";
    }

    Listener listener_;
    Address address_;
    std::mutex mutex_;
    std::map<std::string, Records> topics_;
    std::string holder_;
    std::int64_t holderSeenAt_ = 0;
    int generation_ = 0;
};

} // namespace review
