// Package metastore is a stand-in for the metadata store of the users' platform, with the topics and calls that the product uses.
package metastore
