/// @file
/// Tests of retry budgets and backoff.

#include <chicoryspar/overload.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace chicoryspar;
using namespace std::chrono_literals;

namespace {

/// Runs random call trees with random failures and counts the retries that the budget allows.
class TreeModel
{
public:
    explicit TreeModel(Random &random)
        : m_random(random)
    {
    }

    /// Runs one attempt at a call and its descendant calls.
    /// @returns whether it succeeded
    bool attempt(RetryBudget &budget, int depth)
    {
        const auto children = depth > 0 ? drawBelow(m_random, 4) : 0;
        bool isSuccess = drawBelow(m_random, 4) != 0;
        for (std::uint64_t n = 0; n < children; ++n) {
            isSuccess = callChild(budget, depth - 1, static_cast<std::uint16_t>(children - n)) && isSuccess;
        }
        return isSuccess;
    }

    std::uint32_t retries() const
    {
        return m_retries;
    }

    std::uint32_t maxAttempts() const
    {
        return m_maxAttempts;
    }

    /// Runs a call with all its attempts, as a client or the node of the parent call does.
    /// @returns whether it succeeded
    bool callChild(RetryBudget &budget, int depth, std::uint16_t siblings)
    {
        for (std::uint32_t attempts = 1;; ++attempts) {
            m_maxAttempts = std::max(m_maxAttempts, attempts);
            const auto id = ++m_lastId;
            RetryBudget child(budget.grant(id, siblings));
            const bool isSuccess = attempt(child, depth);
            endAttempt(budget, id, child);
            if (isSuccess || !budget.takeRetry()) {
                return isSuccess;
            }
            ++m_retries;
        }
    }

private:
    /// Ends an attempt in a random way: its tokens are returned once, returned twice, forfeited, or returned along with those of an unknown
    /// attempt.
    void endAttempt(RetryBudget &budget, std::uint64_t id, const RetryBudget &child)
    {
        switch (drawBelow(m_random, 4)) {
        case 0:
            budget.forfeitTokens(id);
            break;
        case 1:
            budget.returnTokens(id, child.left());
            budget.returnTokens(id, child.left());
            break;
        case 2:
            budget.returnTokens(id, static_cast<std::uint16_t>(child.left()));
            budget.returnTokens(id + 1'000'000, 100);
            break;
        default:
            budget.returnTokens(id, child.left());
            break;
        }
    }

    Random &m_random;
    std::uint64_t m_lastId = 0;
    std::uint32_t m_retries = 0;
    std::uint32_t m_maxAttempts = 0;
};

} // namespace

// Guards against retry amplification: retries in the whole tree stay within the tokens of the root, so that no call is attempted more than
// 1 + tokens times.
RC_GTEST_PROP(RetryBudget, LimitsRetriesAcrossTheCallTree, (std::uint64_t seed))
{
    Random random(seed);
    const auto tokens = static_cast<std::uint16_t>(drawBelow(random, 8));
    TreeModel model(random);
    RetryBudget root(tokens);
    model.callChild(root, static_cast<int>(drawBelow(random, 5)), 1);
    RC_ASSERT(model.retries() + root.left() <= tokens);
    RC_ASSERT(model.maxAttempts() <= 1U + tokens);
}

// Guards against tokens created by concurrent child calls: together they never hold more than their parent call had.
RC_GTEST_PROP(RetryBudget, SplitsTokensAmongSiblings, (std::uint64_t seed))
{
    Random random(seed);
    const auto tokens = static_cast<std::uint16_t>(drawBelow(random, 50));
    const auto children = static_cast<std::uint16_t>(1 + drawBelow(random, 40));
    RetryBudget budget(tokens);
    std::vector<std::uint16_t> grants;
    std::uint32_t sum = 0;
    for (std::uint16_t n = 0; n < children; ++n) {
        grants.push_back(budget.grant(n, static_cast<std::uint16_t>(children - n)));
        sum += grants.back();
    }
    RC_ASSERT(sum + budget.left() == tokens);
    for (std::uint16_t n = 0; n < children; ++n) {
        budget.returnTokens(n, 1000);
    }
    RC_ASSERT(budget.left() == tokens);
}

// Guards against retries beyond the burst, the share of first attempts and the minimum rate together.
RC_GTEST_PROP(RatioBudget, LimitsTheShareOfRetries, (std::uint64_t seed))
{
    Random random(seed);
    const RatioBudgetOptions options{.ratioPercent = static_cast<double>(drawBelow(random, 30)), .minRetriesPerSecond = 1, .burst = 10};
    TimePoint now{1h};
    const auto start = now;
    RatioBudget budget(now, options);
    double firstAttempts = 0;
    double retries = 0;
    for (int n = 0; n < 5000; ++n) {
        now += Duration(static_cast<std::int64_t>(drawBelow(random, 1000)));
        if (drawBelow(random, 2) == 0) {
            budget.onFirstAttempt();
            ++firstAttempts;
        } else {
            retries += budget.takeRetry(now) ? 1 : 0;
        }
        const std::chrono::duration<double> elapsed = now - start;
        RC_ASSERT(retries
                  <= options.burst + firstAttempts * options.ratioPercent / 100 + elapsed.count() * options.minRetriesPerSecond + 1e-6);
    }
}

RC_GTEST_PROP(Backoff, IsBoundedJitteredAndHonoursRetryAfter, (std::uint64_t seed))
{
    Random random(seed);
    const BackoffOptions options{.base = 20ms, .max = 500ms};
    const auto retry = 1 + static_cast<std::uint32_t>(drawBelow(random, 100));
    const Duration retryAfter(static_cast<std::int64_t>(drawBelow(random, 2'000'000)));
    const auto ceiling = std::min<std::int64_t>(options.max.count(), options.base.count() << std::min(retry - 1, 20U));
    const auto delay = backoffDelay(random, options, retry, retryAfter);
    RC_ASSERT(delay >= retryAfter);
    RC_ASSERT(delay <= retryAfter + Duration(ceiling));
}

TEST(MayRetry, RetriesWhatMayHaveRunOnlyIfIdempotent)
{
    EXPECT_FALSE(mayRetry(Outcome::Unknown, Reason::ConnectionLost, false));
    EXPECT_TRUE(mayRetry(Outcome::Unknown, Reason::ConnectionLost, true));
    EXPECT_TRUE(mayRetry(Outcome::NotRun, Reason::QueueFull, false));
    EXPECT_FALSE(mayRetry(Outcome::NotRun, Reason::LevelTooLow, true));
    EXPECT_FALSE(mayRetry(Outcome::Answer, Reason::None, true));
}
