#pragma once

#include <string>

#include "filters/callerrequest.h"
#include "mangoshift/querymachine.h"

namespace mangoshift {

/// Returns the JSON body of a query's answer, with the snapshot, the coverage and the rows.
std::string answerJson(const CallerRequest &request, const QueryAnswer &answer);

/// Returns the problem details (RFC 9457) of a request that was not answered.
std::string problemJson(const Problem &problem, const std::string &requestId);

/// Concatenates the elements of JSON arrays into one array, in order.
std::string joinArrays(const std::vector<std::string> &arrays);

} // namespace mangoshift
