package hostile

import "testing"

// The crowds and the bounds below are fixed; the bounds are those that the settings of the tests allow.
const (
	platformCrowd = 320
	entryCrowd    = 128
	headCrowd     = 320
	silentCrowd   = 800
	payloadCrowd  = 128
	jobCrowd      = 320
	refusedCrowd  = 150
	servedCrowd   = 240
	closedCrowd   = 200
	repeatCrowd   = 64
	peerCrowd     = 16

	platformMemory = 64 << 20
	entryMemory    = 192 << 20
	descriptors    = 600
)

func TestPlatformEnduresWholeBodies(t *testing.T) {
	newPlatform(t).endure(platformCrowd, wholeBodies)
}

func TestPlatformEnduresBodiesPieceByPiece(t *testing.T) {
	newPlatform(t).endure(platformCrowd, pieceByPiece)
}

func TestPlatformEnduresLargeChunks(t *testing.T) {
	newPlatform(t).endure(platformCrowd, largeChunks)
}

func TestPlatformEnduresSmallChunks(t *testing.T) {
	newPlatform(t).endure(platformCrowd, smallChunks)
}

func TestPlatformEnduresLongHeads(t *testing.T) {
	newPlatform(t).endure(headCrowd, longHeads)
}

func TestPlatformEnduresEndlessHeads(t *testing.T) {
	newPlatform(t).endure(headCrowd, endlessHeads)
}

func TestPlatformEnduresEmptyLines(t *testing.T) {
	newPlatform(t).endure(headCrowd, emptyLines)
}

func TestPlatformEnduresSilence(t *testing.T) {
	newPlatform(t).endure(silentCrowd, silence)
}

func TestEntryEnduresWholeBodies(t *testing.T) {
	newEntry(t).endure(entryCrowd, wholeBodies)
}

func TestEntryEnduresBodiesPieceByPiece(t *testing.T) {
	newEntry(t).endure(entryCrowd, pieceByPiece)
}

func TestEntryEnduresLargeChunks(t *testing.T) {
	newEntry(t).endure(entryCrowd, largeChunks)
}

func TestEntryEnduresSmallChunks(t *testing.T) {
	newEntry(t).endure(entryCrowd, smallChunks)
}

func TestEntryEnduresLongHeads(t *testing.T) {
	newEntry(t).endure(headCrowd, longHeads)
}

func TestEntryEnduresEndlessHeads(t *testing.T) {
	newEntry(t).endure(headCrowd, endlessHeads)
}

func TestEntryEnduresEmptyLines(t *testing.T) {
	newEntry(t).endure(headCrowd, emptyLines)
}

func TestEntryEnduresSilence(t *testing.T) {
	newEntry(t).endure(silentCrowd, silence)
}

func TestEntryEnduresPayloads(t *testing.T) {
	newEntry(t).endure(payloadCrowd, payloads)
}

func TestEntryEnduresPayloadsOfJobs(t *testing.T) {
	newEntry(t).endure(payloadCrowd, payloadsOfJobs)
}

func TestEntryEnduresLargeAnswers(t *testing.T) {
	newEntry(t).endure(payloadCrowd, largeAnswers)
}

func TestPlatformEnduresJobsOfManyTasks(t *testing.T) {
	newPlatform(t).endure(jobCrowd, platformJobsOfManyTasks)
}

func TestPlatformEnduresJobsOfManyTasksThatAreGivenUp(t *testing.T) {
	newPlatform(t).endure(repeatCrowd, jobsGivenUp)
}

func TestPlatformEnduresMessagesOfPeers(t *testing.T) {
	v := newPlatform(t)
	v.endureAt(v.peer, peerCrowd, messagesShortOfTheirEnd)
}

func TestEntryEnduresMessagesOfPeers(t *testing.T) {
	v := newEntry(t)
	v.endureAt(v.peer, peerCrowd, messagesShortOfTheirEnd)
}

func TestPlatformEnduresSilenceOfPeers(t *testing.T) {
	v := newPlatform(t)
	v.endureAt(v.peer, silentCrowd, silence)
}

func TestEntryEnduresSilenceOfPeers(t *testing.T) {
	v := newEntry(t)
	v.endureAt(v.peer, silentCrowd, silence)
}

func TestEntryEnduresRefusedPayloads(t *testing.T) {
	newEntry(t).endure(refusedCrowd, refusedPayloads)
}

func TestPlatformAnswersNewcomersWhileAllConnectionsAreServed(t *testing.T) {
	newPlatform(t).endureServed(servedCrowd)
}

func TestEntryAnswersNewcomersWhileAllConnectionsAreServed(t *testing.T) {
	newEntry(t).endureServed(servedCrowd)
}

func TestPlatformEnduresClosedConnections(t *testing.T) {
	newPlatform(t).endure(closedCrowd, closedShortOfTheirEnd)
}

func TestEntryEnduresClosedConnections(t *testing.T) {
	newEntry(t).endure(closedCrowd, closedShortOfTheirEnd)
}
