#pragma once

#include <mimosatally/Core>
#include <mimosatally/Http>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mimosatally::test
{

/// \brief Behaviour of the store towards calls.
enum class StoreMode {
    Serving,
    /// \brief Answers 503 to every call.
    Unavailable,
    /// \brief Accepts calls and never answers.
    Unresponsive,
};

/// \brief Stand-in for the platform's store: keyed topics, and one group whose only partition is assigned to its first member.
class StoreStandin
{
public:
    explicit StoreStandin(boost::asio::io_context &io)
        : io_(io)
        , server_(io, parseAddress("127.0.0.1:0"), HttpLimits(), [this](HttpExchange &exchange) {
            return handle(exchange);
        })
    {
    }

    [[nodiscard]] std::string address() const
    {
        return toString(server_.address());
    }

    /// \brief Appends a record; an empty value removes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value)
    {
        contents_.topics[topic].emplace_back(key, value);
    }

    void setMode(StoreMode mode)
    {
        mode_ = mode;
    }

    /// \brief Drops the records written so far from the history; the newest record of each key stays readable.
    void dropHistory(const std::string &topic)
    {
        contents_.firstKept[topic] = contents_.topics[topic].size();
    }

    /// \brief Records and group membership at one moment.
    struct Copy {
        std::map<std::string, std::vector<std::pair<std::string, std::string>>> topics;
        std::map<std::string, std::size_t> firstKept;
        std::string holder;
        std::int64_t generation = 0;
        /// \brief Position of the last append of a producer; the stand-in has one.
        std::int64_t epoch = -1;
        std::int64_t sequence = -1;
    };

    [[nodiscard]] Copy copy() const
    {
        return contents_;
    }

    /// \brief States an era in all answers from now on; a store of an earlier version states none.
    void stateEra(std::int64_t era)
    {
        era_ = era;
    }

    /// \brief Replaces everything by an older copy, as a restore of the store does: what was written since is lost, and the era rises by one.
    void restore(const Copy &copy)
    {
        contents_ = copy;
        if (era_) {
            ++*era_;
        }
    }

    /// \brief Removes the holder of the group when it has not renewed for the time that it asked for, as the platform's store does.
    void expireMembers()
    {
        expiresMembers_ = true;
    }

    /// \brief Calls \a action after each append of a record, before it is answered.
    void onAppend(std::function<void()> action)
    {
        onAppend_ = std::move(action);
    }

    [[nodiscard]] int calls() const
    {
        return calls_;
    }

    /// \brief Number of calls of each kind: method, path, and the topic if the call names one.
    [[nodiscard]] const std::map<std::string, int> &callsByKind() const
    {
        return callsByKind_;
    }

private:
    /// \brief Largest answer to a read of more than one record, as of the store of the platform (`maxKb`).
    static constexpr std::size_t MAX_READ_BYTES = std::size_t(1024) * 1024;

    boost::asio::awaitable<void> handle(HttpExchange &exchange)
    {
        ++calls_;
        ++callsByKind_[kindOf(exchange.request())];
        if (mode_ == StoreMode::Unresponsive) {
            boost::asio::steady_timer timer(io_, std::chrono::seconds(30));
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        HttpResponse response = makeHttpResponse(503, "application/json", "{}");
        if (mode_ == StoreMode::Serving) {
            const std::string target(exchange.request().target());
            if (target.starts_with("/-/log-newest")) {
                response = newest(topicOf(target));
            } else if (target.starts_with("/-/log-read")) {
                response = co_await read(target);
            } else if (target.starts_with("/-/log-join")) {
                response = join(exchange.request().body());
            } else if (target.starts_with("/-/log-append")) {
                response = append(target, exchange.request().body());
            }
        }
        if (era_) {
            response.set("Store-Era", std::to_string(*era_));
        }
        co_await exchange.respond(std::move(response));
    }

    static std::string parameter(const std::string &target, const std::string &name)
    {
        const auto start = target.find(name + '=');
        if (start == std::string::npos) {
            return {};
        }
        const auto value = target.substr(start + name.size() + 1);
        return value.substr(0, value.find('&'));
    }

    static std::string kindOf(const HttpRequest &request)
    {
        const std::string target(request.target());
        return std::string(request.method_string()) + ' ' + target.substr(0, target.find('?')) + ' ' + topicOf(target);
    }

    static std::string topicOf(const std::string &target)
    {
        return parameter(target, "topic");
    }

    static std::string base64(const std::string &text)
    {
        std::string result((text.size() + 2) / 3 * 4 + 1, '\0');
        const int length = EVP_EncodeBlock(
            reinterpret_cast<unsigned char *>(result.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
        result.resize(static_cast<std::size_t>(length));
        return result;
    }

    HttpResponse newest(const std::string &topic)
    {
        std::map<std::string, std::size_t> last;
        const auto &records = contents_.topics[topic];
        for (std::size_t i = 0; i < records.size(); ++i) {
            last[records[i].first] = i;
        }
        nlohmann::json body = {{"items", nlohmann::json::array()}, {"hasMore", false}, {"endOffset", records.size()}};
        for (const auto &[key, index] : last) {
            if (!records[index].second.empty()) {
                body["items"].push_back({{"key", key}, {"value", base64(records[index].second)}, {"offset", index}});
            }
        }
        return makeHttpResponse(200, "application/json", body.dump());
    }

    static void appendNumber(std::string &out, std::uint64_t number, int bytes)
    {
        for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
            out += static_cast<char>((number >> static_cast<unsigned>(shift)) & 255U);
        }
    }

    boost::asio::awaitable<HttpResponse> read(std::string target)
    {
        const std::string topic = topicOf(target);
        const std::size_t from = std::stoul(parameter(target, "from"));
        const std::string wait = parameter(target, "waitMs");
        int remainingMs = wait.empty() ? 0 : std::stoi(wait);
        while (contents_.topics[topic].size() == from && remainingMs > 0) {
            constexpr int step = 20;
            boost::asio::steady_timer timer(io_, std::chrono::milliseconds(step));
            co_await timer.async_wait(boost::asio::use_awaitable);
            remainingMs -= step;
        }
        const auto &records = contents_.topics[topic];
        const std::size_t firstKept = contents_.firstKept[topic];
        if (from < firstKept || from > records.size()) {
            co_return makeHttpResponse(410, "application/json", R"({"firstOffset":)" + std::to_string(firstKept) + "}");
        }
        std::string body;
        appendNumber(body, records.size(), 8);
        appendNumber(body, firstKept, 8);
        for (std::size_t i = from; i < records.size() && (i == from || body.size() + records[i].second.size() <= MAX_READ_BYTES); ++i) {
            appendNumber(body, 1 + records[i].first.size() + records[i].second.size(), 4);
            body += static_cast<char>(records[i].first.size());
            body += records[i].first;
            body += records[i].second;
        }
        co_return makeHttpResponse(200, "application/octet-stream", body);
    }

    static HttpResponse rejectedAppend(const char *reason, std::int64_t expected)
    {
        return makeHttpResponse(409, "application/json", nlohmann::json({{"why", reason}, {"expected", expected}}).dump());
    }

    HttpResponse append(const std::string &target, const std::string &body)
    {
        const std::int64_t epoch = std::stoll(parameter(target, "epoch"));
        const std::int64_t sequence = std::stoll(parameter(target, "seqNum"));
        if (epoch < contents_.epoch) {
            return rejectedAppend("fenced", 0);
        }
        const bool repeated = epoch == contents_.epoch && sequence <= contents_.sequence;
        if (epoch == contents_.epoch && !repeated && sequence != contents_.sequence + 1) {
            return rejectedAppend("seq", contents_.sequence + 1);
        }
        auto &records = contents_.topics[topicOf(target)];
        if (!repeated) {
            contents_.epoch = epoch;
            contents_.sequence = sequence;
            if (!body.empty()) {
                const std::size_t keyBytes = static_cast<unsigned char>(body.at(4));
                records.emplace_back(body.substr(5, keyBytes), body.substr(5 + keyBytes));
            }
        }
        if (!body.empty() && onAppend_) {
            onAppend_();
        }
        return makeHttpResponse(200, "application/json", nlohmann::json({{"offset", records.size()}, {"endOffset", records.size()}}).dump());
    }

    HttpResponse join(const std::string &text)
    {
        const auto body = nlohmann::json::parse(text);
        const std::string member = body["member"];
        const Time now = MilliClock::now();
        if (expiresMembers_ && contents_.holder != member && now - holderRenewed_ > Duration(body["ttlMs"].get<std::int64_t>())) {
            contents_.holder.clear();
        }
        holderRenewed_ = contents_.holder.empty() || contents_.holder == member ? now : holderRenewed_;
        if (contents_.holder.empty()) {
            contents_.holder = member;
            ++contents_.generation;
        }
        nlohmann::json answer = {{"generation", contents_.generation}, {"ttlMs", body["ttlMs"]}, {"parts", nlohmann::json::array()}};
        if (contents_.holder == member) {
            answer["parts"].push_back({body["topics"][0], 0, 0});
        }
        return makeHttpResponse(200, "application/json", answer.dump());
    }

    boost::asio::io_context &io_;
    HttpServer server_;
    Copy contents_;
    std::optional<std::int64_t> era_;
    StoreMode mode_ = StoreMode::Serving;
    bool expiresMembers_ = false;
    Time holderRenewed_ = Time(Duration(0));
    std::function<void()> onAppend_;
    int calls_ = 0;
    std::map<std::string, int> callsByKind_;
};

} // namespace mimosatally::test
