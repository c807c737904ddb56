#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>
#include <string>

/// Runs all tests, or the one class or test that the first argument names, as ClassName or
/// ClassName::testName.
int main(int argc, char **argv)
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    try {
        runner.run(controller, argc > 1 ? std::string("Carawaykeel::Tests::") + argv[1] : "");
    } catch (const std::invalid_argument &ex) {
        std::cerr << "no such test: " << ex.what() << "\n";
        return 2;
    }
    CppUnit::CompilerOutputter(&collector, std::cerr).write();
    const auto failed = collector.testFailuresTotal();
    std::cout << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return collector.wasSuccessful() ? 0 : 1;
}
