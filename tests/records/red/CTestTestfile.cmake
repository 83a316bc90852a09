# A build tree for the Red tests of tools/test: one test that passes and two that fail.
add_test(Good.Passes "/bin/true")
add_test(Bad.Fails "/bin/false")
add_test(Worse.Fails "/bin/false")
