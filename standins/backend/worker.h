#pragma once

/// @file
/// Request processing of the stand-in backend server: slots, queue, cold start, drain, shedding, child calls, faults, execution log.

#include "standins/backend/settings.h"
#include "standins/common/http_server.h"

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <fstream>
#include <unordered_map>

namespace chicoryspar::standin {

/// Load at one point in time, as reported by the health and load endpoints.
struct LoadSample
{
    std::chrono::steady_clock::time_point taken;
    std::size_t inFlight = 0;
    std::size_t queued = 0;
    bool isDraining = false;
};

/// One request from its arrival to its answer.
struct Job
{
    explicit Job(boost::asio::io_context &io)
        : timer(io)
    {
    }

    ServerExchangePtr exchange;
    std::string key;
    std::string root;
    std::string fingerprint;
    boost::asio::steady_timer timer;
    ExchangeId child;
    std::size_t nextChild = 0;
    bool didRun = false;
    bool isDone = false;
};

using JobPtr = std::shared_ptr<Job>;

/// Queues requests, runs them in slots and answers them.
class Worker
{
public:
    Worker(boost::asio::io_context &io, const BackendInit &init, std::string instance);

    /// Handles a request to the service, to /health, /load or /standin/faults.
    void handle(const ServerExchangePtr &exchange);
    /// Sets the faults given as JSON and releases requests held by cleared faults.
    /// @returns findings; the faults stay unchanged when there are any
    std::vector<Finding> setFaults(std::string_view json);
    /// Starts reporting the state "draining" and logs the drain. Requests are still accepted.
    void beginDrain();
    bool isDraining() const;
    bool isIdle() const;

private:
    void handleHealthOrLoad(const ServerExchangePtr &exchange, const std::string &path);
    void handleFaults(const ServerExchangePtr &exchange);
    void accept(const ServerExchangePtr &exchange);
    void startNext();
    void startJob(const JobPtr &job);
    void callNextChild(const JobPtr &job);
    void handleChildAnswer(const JobPtr &job, ExchangeEnd end, const ExchangeResponse &response);
    void run(const JobPtr &job);
    void answerAfterDelay(const JobPtr &job);
    void finish(const JobPtr &job, std::string_view result);
    void refuse(const JobPtr &job, Reason reason);
    void cancel(const JobPtr &job);
    void sendAnswer(const JobPtr &job);
    void log(const Job &job, std::string_view event, std::string_view result);
    void sampleLoad();
    LoadSample delayedSample() const;
    Duration drawServiceTime();
    bool drawWithProbability(double probability);

    boost::asio::io_context &m_io;
    BackendInit m_init;
    std::string m_instance;
    HttpClient m_client;
    Random m_random;
    Faults m_faults;
    std::chrono::steady_clock::time_point m_started;
    std::deque<JobPtr> m_queue;
    std::unordered_map<Job *, JobPtr> m_active;
    std::vector<JobPtr> m_hanging;
    std::vector<ServerExchangePtr> m_unanswered;
    std::deque<LoadSample> m_samples;
    std::ofstream m_log;
    boost::asio::steady_timer m_sampleTimer;
    bool m_isDraining = false;
};

} // namespace chicoryspar::standin
