// The C library has to be linked, because hosts may replace its socket calls.

package main

import "C"
