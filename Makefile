.PHONY: check demo build
check:
	scripts/check.sh
build:
	scripts/install-packages.sh
	cmake --preset release > /dev/null
	cmake --build --preset release
demo: build
	/usr/bin/python3 scripts/demo.py
