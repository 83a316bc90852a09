# Tests for the tests of tools/test: one of each kind.
add_test(Good.Passes "/bin/true")
add_test(Bad.Fails "/bin/false")
add_test(Worse.Fails "/bin/false")
