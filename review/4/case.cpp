// A request states a transfer coding other than chunked, and its body holds another request. See claim.txt.

#include "../standins/fleet.h"

namespace
{
using namespace review;

/// \brief A worker of the plain service that keeps the ids and bodies of the requests that it runs.
class RecordingWorker
{
public:
    RecordingWorker(Fleet &fleet, const std::string &id)
        : fleet_(fleet)
        , id_(id)
        , listener_(Address {"127.0.0.1", 0})
    {
        announce();
        std::thread([this] {
            listener_.serve([this](Connection &connection) {
                while (serveRequest(connection)) {
                }
            });
        }).detach();
    }

    /// \brief Writes a status report.
    void announce()
    {
        fleet_.store.put("keyed.servers",
                         id_,
                         R"({"service":"order-app","address":")" + Address {"127.0.0.1", listener_.port()}.text()
                             + R"(","zone":"arusha-a","version":"v1","slots":6,"state":"ready","coldLeftMs":0,"seqNum":)" + std::to_string(++heartbeats_)
                             + R"(,"born":1700000000000})");
    }

    std::map<std::string, std::string> runs()
    {
        const std::lock_guard lock(mutex_);
        return runs_;
    }

private:
    bool serveRequest(Connection &connection)
    {
        const std::optional<HttpHead> head = connection.readHead(Milliseconds(600'000));
        if (!head) {
            return false;
        }
        const std::optional<std::string> body = connection.readBytes(std::strtoul(head->field("content-length").c_str(), nullptr, 10), Milliseconds(10'000));
        if (!body) {
            return false;
        }
        const std::string id = head->field("x-mimosatally-request-id");
        pauseFor(Milliseconds(30));
        {
            const std::lock_guard lock(mutex_);
            runs_[id] = *body;
        }
        fleet_.record.write("at worker " + id_ + ": ran " + id + ' ' + head->word(1) + " with a body of " + std::to_string(body->size()) + " bytes");
        return connection.send("HTTP/1.1 200 OK\r\nX-Mimosatally-Request-Id: " + id + "\r\nX-Mimosatally-Response-Seal: seal-" + id
                               + "\r\nContent-Length: 2\r\n\r\nok");
    }

    Fleet &fleet_;
    std::string id_;
    Listener listener_;
    int heartbeats_ = 0;
    std::mutex mutex_;
    std::map<std::string, std::string> runs_;
};
} // namespace

int main(int count, char **arguments)
{
    return runCase(count, arguments, [](Fleet &fleet) {
        // The threads of the worker last as long as the process.
        auto &worker = *new RecordingWorker(fleet, "i-order-app-1");
        if (!fleet.startGateways(1)) {
            return CANNOT_RUN;
        }
        const Address front = fleet.front(fleet.gateways().front());
        std::map<std::string, std::string> sent;
        for (const char *const coding : {"gzip", "identity", "gzip", "identity", "gzip"}) {
            worker.announce();
            const std::string id = newRequestId();
            const std::string hidden = "smuggled" + id;
            const std::string body = "POST /place-order/hidden HTTP/1.1\r\nHost: desk.example\r\nX-Mimosatally-Request-Id: " + hidden
                                     + "\r\nX-Mimosatally-Request-Deadline: 2000\r\nContent-Length: 0\r\n\r\n";
            sent[id] = body;
            std::optional<Connection> connection = Connection::open(front);
            if (!connection) {
                return CANNOT_RUN;
            }
            const std::string framing = hasTrouble() ? std::string("Transfer-Encoding: ") + coding : "Content-Length: " + std::to_string(body.size());
            std::ostringstream note;
            note << "sent " << id << " /place-order/2f with " << framing << " and a body that holds " << hidden;
            fleet.record.write(note.str());
            std::ostringstream request;
            request << "POST /place-order/2f HTTP/1.1\r\nHost: desk.example\r\nX-Mimosatally-Request-Id: " << id
                    << "\r\nX-Mimosatally-Request-Deadline: 2000\r\n"
                    << framing << "\r\n\r\n"
                    << body;
            connection->send(request.str());
            const std::optional<HttpHead> head = connection->readHead(Milliseconds(3000));
            fleet.record.write("answered " + id + ' ' + (head ? head->word(1) : "nothing"));
            pauseFor(Milliseconds(500));
        }
        int unasked = 0;
        int changed = 0;
        for (const auto &[id, body] : worker.runs()) {
            const auto asked = sent.find(id);
            unasked += asked == sent.end() ? 1 : 0;
            changed += asked != sent.end() && asked->second != body ? 1 : 0;
        }
        if (worker.runs().empty() && !hasTrouble()) {
            return CANNOT_RUN;
        }
        return verdict(fleet.record,
                       unasked + changed > 0,
                       "of " + std::to_string(sent.size()) + " requests, " + std::to_string(changed) + " were run with another body; " + std::to_string(unasked)
                           + " requests were run that were smuggled inside another one");
    });
}
