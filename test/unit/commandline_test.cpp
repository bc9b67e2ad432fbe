#include <catch2/catch.hpp>

#include "app/command.h"
#include "app/commandline.h"

using namespace mangoshift;

TEST_CASE("The command line of a subcommand is parsed")
{
    std::string to;
    std::vector<std::string> each;
    bool flag = false;
    const auto read = [&](std::vector<std::string> words) {
        words.insert(words.begin(), "query");
        std::vector<char *> argv;
        argv.reserve(words.size() + 1);
        for (std::string &word : words)
            argv.push_back(word.data());
        const auto setArgument = [&](const char *argument) {
            each.emplace_back(argument);
            return each.back() != "wrong";
        };
        const int argc = static_cast<int>(argv.size());
        argv.push_back(nullptr);
        return readCommandLine(
            argc, argv.data(), "Usage\n",
            {textOption("to", 't', to), {"each", 'e', setArgument}, flagOption("flag", 'f', flag)});
    };
    SECTION("options are accepted in long and short form, and operands are returned")
    {
        const auto operands = read({"--to", "a", "-e", "1", "--each=2", "x", "-t", "b", "y"});
        REQUIRE(operands);
        CHECK(*operands == std::vector<std::string>{"x", "y"});
        CHECK(to == "b");
        CHECK(each == std::vector<std::string>{"1", "2"});
    }
    SECTION("an option without an argument leaves the word after it to the operands")
    {
        for (const char *option : {"--flag", "-f"}) {
            flag = false;
            CHECK(read({option, "x"}) == std::vector<std::string>{"x"});
            CHECK(flag);
        }
    }
    SECTION("help ends the subcommand with success")
    {
        CHECK(read({"--help"}).error() == ExitOk);
        CHECK(read({"-h"}).error() == ExitOk);
    }
    SECTION("an unknown option, a missing argument or an invalid argument is an error")
    {
        CHECK(read({"--none"}).error() == ExitUsage);
        CHECK(read({"--to"}).error() == ExitUsage);
        CHECK(read({"-e", "wrong"}).error() == ExitUsage);
    }
}
