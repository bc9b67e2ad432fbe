#include "filters/answerjson.h"

#include <string_view>

#include <nlohmann/json.hpp>

#include "base/jsontext.h"

namespace mangoshift {

namespace {

/// Returns the text between the brackets of a JSON array, without leading white space.
std::string_view elementsOf(std::string_view array)
{
    const auto open = array.find('[');
    const auto close = array.rfind(']');
    std::string_view inner = array.substr(open + 1, close - open - 1);
    const auto first = inner.find_first_not_of(" \t\r\n");
    return first == std::string_view::npos ? std::string_view() : inner.substr(first);
}

} // namespace

std::string joinArrays(const std::vector<std::string> &arrays)
{
    std::string joined = "[";
    for (const std::string &array : arrays) {
        const std::string_view inner = elementsOf(array);
        if (inner.empty())
            continue;
        if (joined.size() > 1)
            joined += ',';
        joined += inner;
    }
    joined += ']';
    return joined;
}

std::string answerJson(const CallerRequest &request, const QueryAnswer &answer)
{
    nlohmann::ordered_json head;
    head["service"] = request.serviceName;
    head["request_id"] = request.requestId;
    head["snapshot"] = answer.snapshot;
    head["complete"] = answer.isComplete();
    head["shards"] = {{"asked", answer.shardsRequested},
                      {"answered", answer.shardsRequested - answer.missing.size()}};
    head["missing"] = nlohmann::ordered_json::array();
    for (const MissingShard &each : answer.missing)
        head["missing"].push_back({{"shard", each.shard},
                                   {"reason", toString(each.verdict.reason)},
                                   {"execution", toString(each.verdict.execution)}});
    head["extra_requests"] = answer.extraRequests;
    std::string text = jsonText(head);
    // The rows are copied as text: parsing and writing them again could change values.
    text.pop_back();
    text += ",\"rows\":" + joinArrays(answer.rows) + "}\n";
    return text;
}

std::string problemJson(const Problem &problem, const std::string &requestId)
{
    nlohmann::ordered_json json;
    json["type"] = "about:blank";
    json["status"] = problem.status;
    json["title"] = toString(problem.verdict.reason);
    json["detail"] = problem.detail;
    if (!problem.field.empty())
        json["field"] = problem.field;
    json["execution"] = toString(problem.verdict.execution);
    json["reason"] = toString(problem.verdict.reason);
    if (problem.verdict.retryAfter.count() > 0)
        json["retry_after_ms"] = problem.verdict.retryAfter.count();
    json["request_id"] = requestId;
    return jsonText(json) + "\n";
}

} // namespace mangoshift
