// Command cairnworksd runs one instance of the router.
package main

func main() {}
